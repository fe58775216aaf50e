#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. The router itself is built by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand_ins/*_main.cc; do
    name=$(basename "$source" _main.cc)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" "$source" &
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
exit $failed
