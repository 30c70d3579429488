# Shell functions that start a small cell of real processes on loopback. Set
# BUILD (build folder) and RUN_DIR (folder for settings and logs), then source
# this file. Processes are killed by process id only, never by name.

PORT_BASE=${PORT_BASE:-7000}
PLATFORM=127.0.0.1:$PORT_BASE
ENTRY_HTTP_BASE=$((PORT_BASE + 100))
ENTRY_PEER_BASE=$((PORT_BASE + 200))
ENDPOINT_BASE=$((PORT_BASE + 300))
EXTRA_SETTINGS=${EXTRA_SETTINGS:-}
declare -A PID        # name -> process id
declare -A ENTRY_HTTP # entry VM -> IP:port
ENTRY_NAMES=()
ENDPOINT_GROUPS=()    # "FD NAME_PREFIX FIRST_PORT COUNT", one for each process

eelctl() { "$BUILD/eelctl" "$@"; }

post() { # post URL JSON: sends JSON to http://URL
  curl -s -m 3 -X POST -d "$2" "http://$1" >/dev/null
}

make_operators() {
  AUTHOR_KEY=$(eelctl keygen --out "$RUN_DIR/author.key")
  APPROVER_KEY=$(eelctl keygen --out "$RUN_DIR/approver.key")
}

start_platform() {
  "$BUILD/standin-platform" --listen "$PLATFORM" 2>"$RUN_DIR/platform.log" &
  PID[platform]=$!
}

# start_endpoints FD COUNT [flags...]: starts one process with COUNT endpoints.
start_endpoints() {
  local fd=$1 count=$2; shift 2
  local first_port=$ENDPOINT_BASE
  ENDPOINT_BASE=$((ENDPOINT_BASE + count))
  ENDPOINT_GROUPS+=("$fd $fd-ep $first_port $count")
  "$BUILD/standin-endpoint" --listen "127.0.0.1:$first_port" --count "$count" \
    --name_prefix "$fd-ep" --audit "$RUN_DIR/audit-$fd.jsonl" "$@" \
    2>"$RUN_DIR/endpoints-$fd.log" &
  PID[endpoints-$fd]=$!
}

write_settings() { # write_settings NAME FD HTTP PEER PLATFORM
  cat >"$RUN_DIR/$1.toml" <<EOF
[vm]
name = "$1"
failure_domain = "$2"
[listen]
http = "$3"
peer = "$4"
[platform]
url = "http://$5"
[peers]
seeds = [$SEEDS]
[operators]
ayse = "$AUTHOR_KEY"
mehmet = "$APPROVER_KEY"
$EXTRA_SETTINGS
EOF
}

# start_entry_vm NAME: starts an entry VM from its settings in RUN_DIR.
start_entry_vm() {
  "$BUILD/eelgrasslever-entryd" --settings "$RUN_DIR/$1.toml" 2>>"$RUN_DIR/$1.log" &
  PID[$1]=$!
}

# start_entry_vms FD COUNT: writes the settings of COUNT entry VMs, starts them.
start_entry_vms() {
  local fd=$1 count=$2 i
  for ((i = 0; i < count; i++)); do
    local index=${#ENTRY_NAMES[@]}
    local name="$fd-$i"
    local http="127.0.0.1:$((ENTRY_HTTP_BASE + index))"
    local peer="127.0.0.1:$((ENTRY_PEER_BASE + index))"
    ENTRY_NAMES+=("$name")
    ENTRY_HTTP[$name]=$http
    VM_ROWS+=("{\"name\":\"$name\",\"role\":\"entry\",\"failure_domain\":\"$fd\",\"address\":\"$http\",\"peer_address\":\"${PEER_VIA[$name]:-$peer}\",\"state\":\"live\"}")
    write_settings "$name" "$fd" "$http" "$peer" "${PLATFORM_VIA[$name]:-$PLATFORM}"
    start_entry_vm "$name"
  done
}

declare -A PEER_VIA     # entry VM -> address at which its peers reach it
declare -A PLATFORM_VIA # entry VM -> address at which it reaches the platform
SEEDS=""
VM_ROWS=()

make_seeds() { # make_seeds COUNT: sets SEEDS to the first COUNT peer addresses
  local i
  SEEDS=""
  for ((i = 0; i < $1; i++)); do
    SEEDS+="${SEEDS:+,}\"127.0.0.1:$((ENTRY_PEER_BASE + i))\""
  done
}

publish_vm_list() { # publish_vm_list [NAME...]: the named endpoints are leaving
  local rows=("${VM_ROWS[@]}") group fd prefix first_port count i state name
  for group in "${ENDPOINT_GROUPS[@]}"; do
    read -r fd prefix first_port count <<<"$group"
    for ((i = 0; i < count; i++)); do
      name="$prefix$i"; state=live
      [[ " $* " == *" $name "* ]] && state=leaving
      rows+=("{\"name\":\"$name\",\"role\":\"endpoint\",\"failure_domain\":\"$fd\",\"rack\":\"$fd-r$((i / 8))\",\"address\":\"127.0.0.1:$((first_port + i))\",\"state\":\"$state\"}")
    done
  done
  local IFS=,
  curl -s -X PUT -d "{\"vms\":[${rows[*]}]}" "http://$PLATFORM/v1/vms" >/dev/null
}

server_list() { # prints the HTTP addresses of all entry VMs, comma-separated
  local addresses="" name
  for name in "${ENTRY_NAMES[@]}"; do addresses+="${addresses:+,}${ENTRY_HTTP[$name]}"; done
  echo "$addresses"
}

# roll_out_bundle VERSION [TEAMS_JSON]: signs, approves and activates a bundle.
roll_out_bundle() {
  local teams=${2:-'[{"name":"doors","tier":"paying","quota_slots":1000},{"name":"office","tier":"paying","quota_slots":1000},{"name":"visitors","tier":"trial","quota_slots":1000}]'}
  echo "{\"version\":$1,\"teams\":$teams,\"weights\":{\"waiting\":1.0,\"packing\":0.5}}" >"$RUN_DIR/bundle-$1.json"
  eelctl bundle sign "$RUN_DIR/bundle-$1.json" --operator_name ayse --key "$RUN_DIR/author.key" --out "$RUN_DIR/signed-$1.json" &&
    eelctl bundle approve "$RUN_DIR/signed-$1.json" --operator_name mehmet --key "$RUN_DIR/approver.key" --out "$RUN_DIR/approved-$1.json" &&
    eelctl bundle rollout "$RUN_DIR/approved-$1.json" --servers "$(server_list)" --timeout_ms 5000
}

wait_ready() { # waits until every entry VM is ready, at most 200 polls each
  local name tries
  for name in "${ENTRY_NAMES[@]}"; do
    for ((tries = 0; tries < 200; tries++)); do
      eelctl show health --servers "${ENTRY_HTTP[$name]}" >/dev/null 2>&1 && break
      sleep 0.1
    done
    [[ $tries -lt 200 ]] || { echo "$name did not become ready after $tries polls"; return 1; }
  done
}

stop_all() { # kills all processes, including the frozen ones
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
}
