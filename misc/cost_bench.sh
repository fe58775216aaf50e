#!/usr/bin/env bash
# Counts the instructions per request in the reducers of entry and sidecar for increasing numbers of upstreams and
# organisations, prints the slope, and fails when the cost grows faster than logarithmically. Callgrind's counts are
# deterministic. The times printed after them depend on the machine and are not checked.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/build.sh release
out=out/cost
mkdir -p "$out"
requests=300
# count_instructions ROLE UPSTREAMS ORGANISATIONS: prints the instructions per request.
count_instructions() {
    local log="$out/$1-$2-$3.log" collected
    valgrind --tool=callgrind --collect-atstart=no --callgrind-out-file="$out/$1-$2-$3.callgrind" \
        build/release/bench/kumquat_cost_count "$1" "$2" "$3" "$requests" 2>"$log" >&2
    collected=$(sed -n 's/.*Collected : \([0-9]*\).*/\1/p' "$log")
    echo $((collected / requests))
}
failed=0
# measure_series NAME ROLE DIMENSION SIZE...: measures the cost at each SIZE, given as UPSTREAMS,ORGANISATIONS, and checks its
# growth. DIMENSION is upstreams or organisations: the number that increases from SIZE to SIZE.
measure_series() {
    local name=$1 role=$2 dimension=$3 size pids=()
    shift 3
    for size in "$@"; do
        count_instructions "$role" "${size%,*}" "${size#*,}" >"$out/$role-$size.count" &
        pids+=($!)
    done
    for pid in "${pids[@]}"; do wait "$pid"; done
    for size in "$@"; do echo "${size//,/ } $(cat "$out/$role-$size.count")"; done >"$out/$name.dat"
    # Logarithmic growth adds an equal number of instructions for each doubling. A slope of less than 1 % of the smallest cost is
    # noise and does not count as growth.
    awk -v name="$name" -v dimension="$dimension" '
        { size[NR] = dimension == "upstreams" ? $1 : $2; cost[NR] = $3
          printf "%-28s upstreams %5d organisations %5d  %8d instructions per request\n", name, $1, $2, $3 }
        END {
            for (i = 2; i <= NR; i++) {
                slope[i] = (cost[i] - cost[i - 1]) / (log(size[i] / size[i - 1]) / log(2))
                printf "%-28s %.0f instructions for each doubling from %d to %d %s\n", name, slope[i], size[i - 1], size[i], dimension
            }
            noise = cost[1] / 100
            allowed = slope[2] > noise ? slope[2] : noise
            for (i = 3; i <= NR; i++) if (slope[i] > 2 * allowed) missed = 1
            if (cost[NR] > cost[1] * log(size[NR]) / log(size[1])) missed = 1
            if (missed) { printf "%-28s MISSED: grows faster than logarithmically\n", name; exit 1 }
        }' "$out/$name.dat" || {
        grep -q "^cost $name |" KNOWN-RED.txt 2>/dev/null && echo "KNOWN-RED cost $name" || failed=1
    }
}
measure_series entry-by-upstreams entry upstreams 10,10 100,10 800,10
measure_series entry-by-organisations entry organisations 10,10 10,200 10,3100
measure_series report-by-upstreams report upstreams 10,10 100,10 800,10
measure_series sidecar-by-organisations sidecar organisations 10,10 10,200 10,3100
build/release/bench/kumquat_cost_bench --benchmark_counters_tabular=true 2>/dev/null
exit "$failed"
