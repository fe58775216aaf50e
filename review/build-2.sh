#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. The router itself is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
jobs=()
for source in review/stand_ins_2/*_main.cc; do
    name=$(basename "$source" _main.cc)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source" &
    jobs+=($!)
done
failed=0
for job in "${jobs[@]}"; do wait "$job" || failed=1; done
exit $failed
