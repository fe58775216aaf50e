#!/usr/bin/env bash
# Installs packages, checks the format, lints, builds, and runs all tests, the scenario and cost benchmarks with their bounds,
# the model checks, and the fuzz targets.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/install.sh
misc/lint.sh
misc/build.sh release
# With sanitizers only the unit and property tests run; the other programs are built for the release.
misc/build.sh debug kumquat_tests kumquat_properties
# run_tests PRESET: runs all tests of a build. The known failures are printed of tests that pass too, whose output ctest leaves out.
run_tests() {
    local status=0
    ctest --test-dir "build/$1" --output-on-failure || status=$?
    grep -h '^KNOWN-RED ' "build/$1/Testing/Temporary/LastTest.log" || true
    return "$status"
}
run_tests debug
run_tests release
BENCH_THREADS=$(nproc) misc/bench.sh
misc/cost_bench.sh
misc/head_cost.sh
misc/check_model.sh
misc/fuzz.sh
