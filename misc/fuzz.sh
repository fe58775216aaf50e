#!/usr/bin/env bash
# Builds the fuzz targets of tests/fuzz with clang and runs each one a fixed number of times, with a fixed seed, so that the verdict repeats.
# fuzz.sh [TARGET...]: runs only these. FUZZ_RUNS sets the number of runs, FUZZ_SECONDS runs for a time instead, FUZZ_SEED sets the seed.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${FUZZ_RUNS:-20000}
seed=${FUZZ_SEED:-1}
max_input_bytes=4096
max_memory_mb=1024
misc/build.sh fuzz fuzz_targets
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
targets=("$@")
[ ${#targets[@]} -gt 0 ] || for source in tests/fuzz/*_fuzz.cpp; do targets+=("$(basename "$source" _fuzz.cpp)"); done

bound=(-runs="$runs")
[ -z "${FUZZ_SECONDS:-}" ] || bound=(-max_total_time="$FUZZ_SECONDS")
passed=0
failed=0
for target in "${targets[@]}"; do
    # The fuzzer writes what it learns to the first folder; the committed inputs stay as they are.
    mkdir "$work/$target"
    if "build/fuzz/tests/fuzz/fuzz-${target//_/-}" "${bound[@]}" -seed="$seed" -max_len="$max_input_bytes" -rss_limit_mb="$max_memory_mb" -artifact_prefix="$work/" \
        "$work/$target" "tests/fuzz/corpus/$target" >"$work/$target.log" 2>&1; then
        passed=$((passed + 1))
        echo "fuzz $target: $(grep -o 'Done.*' "$work/$target.log")"
        continue
    fi
    failed=$((failed + 1))
    echo "FAILED fuzz $target, seed $seed"
    tail -n 40 "$work/$target.log"
    for input in "$work"/crash-* "$work"/oom-* "$work"/timeout-*; do
        [ -e "$input" ] && echo "input: $(base64 -w 0 "$input")" && rm "$input"
    done
done
echo "fuzz: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
