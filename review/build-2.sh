#!/usr/bin/env bash
# Builds the programs of the cases in review/6 to review/10, with all stand-ins that they start, into
# build-review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/harness-2/harness.cpp -o build-review-2/harness.o
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" build-review-2/harness.o -o "build-review-2/case-$number"
done
