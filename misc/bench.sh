#!/usr/bin/env bash
# Runs every scenario with every compared policy in virtual time. Prints a table of the results, writes JSON and a plot for
# each scenario to out/bench, and fails when a bound is missed that KNOWN-RED.txt does not list, or when a second run of a
# scenario gives different figures. With an argument, runs only the scenarios whose name contains it.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/build.sh release
out=out/bench
rm -rf "$out"
mkdir -p "$out/again"
run() { build/release/bench/kumquat_scenario_bench --output "$1" --filter "$2" --threads "${BENCH_THREADS:-4}"; }
status=0
run "$out" "${1:-}" || status=$?
for script in "$out"/*.gnuplot; do gnuplot "$script"; done
# A second run of one scenario is enough to check that the results are deterministic.
repeated=$(basename "$(ls "$out"/*.json | head -n 1)" .json)
run "$out/again" "$repeated" >/dev/null || true
for figures in "$out"/again/*.json; do
    cmp "$figures" "$out/$(basename "$figures")" || { echo "bench: a second run of $figures gave other figures" >&2; exit 1; }
done
echo "bench: a second run of $repeated gave equal figures"
exit "$status"
