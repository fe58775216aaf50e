#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/review-3. Run it after the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/*_main.cc; do
    name=$(basename "$source" _main.cc)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/${name//_/-}"
done
