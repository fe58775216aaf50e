#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start, into target/review-3. They need nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/*_main.cpp; do
    name=$(basename "$source" _main.cpp)
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review-3/$name"
done
