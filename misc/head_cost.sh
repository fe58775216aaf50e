#!/usr/bin/env bash
# Counts the instructions that the most expensive heads and bodies of callers and upstreams cost (bench/harness/head_forms.cpp) in two sizes,
# and fails when a cost grows faster than its size, or when a head of the largest legal size costs too much. Callgrind's counts
# are deterministic. The times printed at the end depend on the machine and are not checked.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/build.sh release kumquat_head_cost
out=out/head-cost
rm -rf "$out"
mkdir -p "$out"
# On a log scale; 1 is a cost that grows as the size does.
max_slope=1.1
# Two milliseconds at two instructions a nanosecond.
max_instructions=4000000
# Forms that are read in many steps, each with a turn of the loop of its own. Only their growth is checked.
in_many_steps=" body-byte-by-byte byte-by-byte event-byte-by-byte requests-ahead "
valgrind --tool=callgrind --collect-atstart=no --callgrind-out-file="$out/callgrind" build/release/bench/kumquat_head_cost 2>"$out/log"
awk '/^desc: Trigger: Client Request: / { form = $5; bytes = $6 } /^(summary|totals): / && form != "" { print form, bytes, $2; form = "" }' "$out"/callgrind.* |
    sort -k1,1 -k2,2n >"$out/counts"
failed=0
while read -r form small small_cost large large_cost; do
    slope=$(awk -v s="$small" -v c="$small_cost" -v l="$large" -v d="$large_cost" 'BEGIN { printf "%.2f", log(d / c) / log(l / s) }')
    printf '%-20s %8d instructions for %5d bytes %9d for %5d, slope %s\n' "$form" "$small_cost" "$small" "$large_cost" "$large" "$slope"
    missed=
    awk -v slope="$slope" -v max="$max_slope" 'BEGIN { exit slope < max }' && missed="grows faster than its size"
    [ "$large_cost" -lt "$max_instructions" ] || [[ $in_many_steps = *" $form "* ]] || missed="costs over $max_instructions instructions"
    [ -n "$missed" ] || continue
    if grep -q "^cost head-$form |" KNOWN-RED.txt; then
        echo "KNOWN-RED cost head-$form"
    else
        echo "MISSED cost head-$form: $missed"
        failed=1
    fi
done < <(awk '$1 == form { print form, bytes, cost, $2, $3 } { form = $1; bytes = $2; cost = $3 }' "$out/counts")
forms=$(awk '{ print $1 }' "$out/counts" | uniq | wc -l)
[ "$(wc -l <"$out/counts")" -eq $((2 * forms)) ] && [ "$forms" -gt 0 ] || { echo "head cost: counts are missing"; failed=1; }
build/release/bench/kumquat_head_cost
exit "$failed"
