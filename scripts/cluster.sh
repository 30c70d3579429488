# Functions that start a small cell of real processes on loopback. Source it;
# set BUILD and RUN first. Each process is ended by its id only.

PORT_BASE=${PORT_BASE:-7000}
PLATFORM=127.0.0.1:$PORT_BASE
ENTRY_HTTP_BASE=$((PORT_BASE + 100))
ENTRY_PEER_BASE=$((PORT_BASE + 200))
ENDPOINT_BASE=$((PORT_BASE + 300))
EXTRA_SETTINGS=${EXTRA_SETTINGS:-}
declare -A PID        # name -> process id
declare -A ENTRY_HTTP # entry VM -> IP:port
ENTRY_NAMES=()
ENDPOINT_GROUPS=()    # "fd name_prefix first_port count"

ctl() { "$BUILD/eelctl" "$@"; }

post() { # post URL JSON
  curl -s -m 3 -X POST -d "$2" "http://$1" >/dev/null
}

make_operators() {
  AUTHOR_KEY=$(ctl keygen --out "$RUN/author.key")
  APPROVER_KEY=$(ctl keygen --out "$RUN/approver.key")
}

start_platform() {
  "$BUILD/standin-platform" --listen "$PLATFORM" 2>"$RUN/platform.log" &
  PID[platform]=$!
}

# start_endpoints FD COUNT [flags...]: one process with COUNT endpoints.
start_endpoints() {
  local fd=$1 count=$2; shift 2
  local first=$ENDPOINT_BASE
  ENDPOINT_BASE=$((ENDPOINT_BASE + count))
  ENDPOINT_GROUPS+=("$fd $fd-ep $first $count")
  "$BUILD/standin-endpoint" --listen "127.0.0.1:$first" --count "$count" \
    --name_prefix "$fd-ep" --audit "$RUN/audit-$fd.jsonl" "$@" \
    2>"$RUN/endpoints-$fd.log" &
  PID[endpoints-$fd]=$!
}

write_settings() { # write_settings NAME FD HTTP PEER PLATFORM
  cat >"$RUN/$1.toml" <<EOF
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

# start_entry NAME: runs it with the settings already written.
start_entry() {
  "$BUILD/eelgrasslever-entryd" --settings "$RUN/$1.toml" 2>>"$RUN/$1.log" &
  PID[$1]=$!
}

# start_entries FD COUNT
start_entries() {
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
    start_entry "$name"
  done
}

declare -A PEER_VIA     # entry VM -> address at which its peers reach it
declare -A PLATFORM_VIA # entry VM -> address at which it reaches the platform
SEEDS=""
VM_ROWS=()

make_seeds() { # make_seeds COUNT: the peer addresses of the first entry VMs
  local i
  SEEDS=""
  for ((i = 0; i < $1; i++)); do
    SEEDS+="${SEEDS:+,}\"127.0.0.1:$((ENTRY_PEER_BASE + i))\""
  done
}

publish_vms() { # publish_vms [NAME_THAT_LEAVES...]
  local rows=("${VM_ROWS[@]}") group fd prefix first count i state name
  for group in "${ENDPOINT_GROUPS[@]}"; do
    read -r fd prefix first count <<<"$group"
    for ((i = 0; i < count; i++)); do
      name="$prefix$i"; state=live
      [[ " $* " == *" $name "* ]] && state=leaving
      rows+=("{\"name\":\"$name\",\"role\":\"endpoint\",\"failure_domain\":\"$fd\",\"rack\":\"$fd-r$((i / 8))\",\"address\":\"127.0.0.1:$((first + i))\",\"state\":\"$state\"}")
    done
  done
  local IFS=,
  curl -s -X PUT -d "{\"vms\":[${rows[*]}]}" "http://$PLATFORM/v1/vms" >/dev/null
}

SERVERS() {
  local out="" name
  for name in "${ENTRY_NAMES[@]}"; do out+="${out:+,}${ENTRY_HTTP[$name]}"; done
  echo "$out"
}

# roll_out VERSION [TEAMS_JSON]
roll_out() {
  local teams=${2:-'[{"name":"doors","tier":"paying","quota_slots":1000},{"name":"office","tier":"paying","quota_slots":1000},{"name":"visitors","tier":"trial","quota_slots":1000}]'}
  echo "{\"version\":$1,\"teams\":$teams,\"weights\":{\"waiting\":1.0,\"packing\":0.5}}" >"$RUN/bundle-$1.json"
  ctl bundle sign "$RUN/bundle-$1.json" --operator_name ayse --key "$RUN/author.key" --out "$RUN/signed-$1.json" &&
    ctl bundle approve "$RUN/signed-$1.json" --operator_name mehmet --key "$RUN/approver.key" --out "$RUN/approved-$1.json" &&
    ctl bundle rollout "$RUN/approved-$1.json" --servers "$(SERVERS)" --timeout_ms 5000
}

wait_ready() { # waits until every entry VM says that it is ready
  local name tries
  for name in "${ENTRY_NAMES[@]}"; do
    for ((tries = 0; tries < 200; tries++)); do
      ctl show health --servers "${ENTRY_HTTP[$name]}" >/dev/null 2>&1 && break
      sleep 0.1
    done
    [[ $tries -lt 200 ]] || { echo "$name never became ready"; return 1; }
  done
}

stop_all() {
  local name
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
}
