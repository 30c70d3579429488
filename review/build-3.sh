#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into review/build-3/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-3
for source in cell_3/*.cpp; do
  object=build-3/$(basename "$source" .cpp).o
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$source" -o "$object" &
done
for job in $(jobs -p); do
  wait "$job"
done
g++ -pthread build-3/*.o -o build-3/cell-3
