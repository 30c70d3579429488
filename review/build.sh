#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
for source in http store worker cell; do
  g++ -std=c++20 -O1 -pthread -c "review/stand_ins/$source.cpp" \
    -o "target/review/$source.o" &
  objects+=("target/review/$source.o")
done
wait
for scenario in review/[1-5]/scenario.cpp; do
  [ -e "$scenario" ] || continue
  number=$(basename "$(dirname "$scenario")")
  g++ -std=c++20 -O1 -pthread "$scenario" "${objects[@]}" \
    -o "target/review/case-$number"
done
