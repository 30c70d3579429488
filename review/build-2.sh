#!/usr/bin/env bash
# Builds the cases 6 to 10 into target/review-2/, with their stand-ins. Run it
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra)
pids=()
for name in http store worker cell; do
  g++ "${flags[@]}" -c "review/platform_cell/$name.cpp" -o "$out/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for folder in review/[0-9]*; do
  number=$(basename "$folder")
  [[ $number -ge 6 && -f $folder/scenario.cpp ]] || continue
  g++ "${flags[@]}" "$folder/scenario.cpp" "$out"/{http,store,worker,cell}.o \
    -pthread -o "$out/case-$number"
done
