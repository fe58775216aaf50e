#!/usr/bin/env bash
# Measures the memory and processor time that each additional organisation, upstream, request, chunk and stream costs an entry
# and a sidecar, and the costs of the router. Measures at three sizes and prints the slopes between neighbouring sizes.
# docs/CAPACITY.md is derived from these slopes.
cd "$(dirname "$0")/.." || exit 2
misc/build.sh release || exit 1
. tests/process/lib.sh
ulimit -n 65536 2>/dev/null

# rss_of NAME: prints the resident memory of a process in KB.
rss_of() { awk '/^Rss:/ {print $2}' "/proc/$(pid_of "$1")/smaps_rollup"; }
# cpu_of NAME: prints the processor time that all threads of a process have used, in microseconds.
cpu_of() { cat /proc/"$(pid_of "$1")"/task/*/schedstat | awk '{t += $1} END {printf "%d", t / 1000}'; }
# stop_process NAME: kills a process and waits until it has exited.
stop_process() {
    kill -KILL "$(pid_of "$1")" 2>/dev/null
    wait "$(pid_of "$1")" 2>/dev/null
}
# print_slopes NAME UNIT X1 Y1 X2 Y2 X3 Y3: prints the slopes between the three points.
print_slopes() {
    awk -v name="$1" -v unit="$2" -v x1="$3" -v y1="$4" -v x2="$5" -v y2="$6" -v x3="$7" -v y3="$8" 'BEGIN {
        printf "%-34s %8.2f %8.2f  %-22s (%s: %s, %s: %s, %s: %s)\n", name, (y2-y1)/(x2-x1), (y3-y2)/(x3-x2), unit, x1, y1, x2, y2, x3, y3 }'
}

# write_document COUNT: writes a document with COUNT additional organisations and 29 models, and prints its path.
write_document() {
    jq --argjson n "$1" '.organisations += [range($n) | {name: "org-\(.)", keys: ["sha256:" + ("0" * (64 - (tostring | length))) + tostring], limits: {requests_per_second: 10, burst: 20, concurrency: 50}}]
        | .services += [range(28) | {name: "service-\(.)", kind: "engine", models: ["model-\(.)"]}]' examples/consortium.json >"$work/document-$1.json"
    echo "$work/document-$1.json"
}
# upstream_settings COUNT: prints the settings of COUNT upstreams of 28 services.
upstream_settings() { jq -nc --argjson n "$1" --argjson first "$(port 100)" '[range($n) | {id: "fleet-\(.)", service: "service-\(. % 28)", data_centre: "east-legon", peer_address: "tcp://127.0.0.1:\($first + .)"}]'; }

echo "bytes of messages, authentication included:"
$bin/tests/measure-message-sizes | sed 's/^/  /'
echo
printf '%-34s %8s %8s  %-22s\n' cost "slope 1" "slope 2" unit

# Organisations: memory of an entry.
values=()
for n in 10 1000 3100; do
    start "entry-o$n" $bin/kumquat-entry --settings "$(entry_settings "entry-o$n" 80 70 90 ". + {document_file: \"$(write_document "$n")\"}")"
    eventually curl -sf "127.0.0.1:$(port 90)/readyz"
    values+=("$n" "$(rss_of "entry-o$n")")
    stop_process "entry-o$n"
done
print_slopes "entry memory per organisation" "KB" "${values[@]}"

# Upstreams: memory and processor time of an entry that receives a report from each one every second.
memory=()
time=()
for n in 28 140 560; do
    upstream_settings "$n" >"$work/upstreams-$n.json"
    settings=$(entry_settings "entry-u$n" 80 70 90 ". + {document_file: \"$(write_document 10)\"} + {upstreams: $(cat "$work/upstreams-$n.json")}")
    start "fleet-$n" $bin/tests/measure-sidecar-fleet "tcp://127.0.0.1:$(port 70)" "$(port 100)" "$n" 28 1000 "$network_key"
    start "entry-u$n" $bin/kumquat-entry --settings "$settings"
    sleep 4
    before=$(cpu_of "entry-u$n")
    sleep 5
    time+=("$n" $((($(cpu_of "entry-u$n") - before) / 5)))
    memory+=("$n" "$(rss_of "entry-u$n")")
    stop_process "entry-u$n"
    stop_process "fleet-$n"
done
print_slopes "entry memory per listed upstream" "KB" "${memory[@]}"
print_slopes "entry time per listed upstream" "us/s" "${time[@]}"

# Requests and chunks through real processes.
document=$PWD/examples/consortium.json
start engine $bin/tests/stand-in-model-engine "$(port 60)" 256 5 1
start kasa-1 $bin/kumquat-sidecar --settings "$(sidecar_settings kasa-1 kasa engine 60 72 92 ". + {document_file: \"$document\", slots: 256}")"
start entry $bin/kumquat-entry --settings "$(entry_settings entry 80 70 90 ". + {document_file: \"$document\", caller_threads: 1024, upstreams: [{id: \"kasa-1\", service: \"kasa\", peer_address: \"tcp://127.0.0.1:$(port 72)\"}]}")"
eventually has_healthy_reports 90 1
# load COUNT TOKENS: sends COUNT requests with answers of TOKENS tokens at a constant rate over 5 s, and prints the number of
# complete answers.
load() {
    jq -n --arg entry "http://127.0.0.1:$(port 80)" --argjson rate "$(($1 / 5))" --argjson tokens "$2" '{duration_ms: 5000, entries: [$entry], streams: [{name: "measured", class: "checklist", key: "demo-ridge-guards", model: "kasa-8b", prompt_words: 300, max_tokens: $tokens, arrivals: {kind: "constant", per_second: $rate}}]}' >"$work/load.json"
    $bin/kumquat-load "$work/load.json" --output "$work/result.json" 2>/dev/null
    jq '.streams[0].whole' "$work/result.json"
}
load 50 1 >/dev/null
entry_time=()
sidecar_time=()
for n in 50 150 250; do
    entry_before=$(cpu_of entry) sidecar_before=$(cpu_of kasa-1)
    whole=$(load "$n" 1)
    [ "$whole" = "$n" ] || echo "only $whole of $n requests were answered whole"
    entry_time+=("$n" $(($(cpu_of entry) - entry_before)))
    sidecar_time+=("$n" $(($(cpu_of kasa-1) - sidecar_before)))
done
print_slopes "entry time per request" "us" "${entry_time[@]}"
print_slopes "sidecar time per request" "us" "${sidecar_time[@]}"
entry_time=()
sidecar_time=()
for tokens in 1 6 12; do
    entry_before=$(cpu_of entry) sidecar_before=$(cpu_of kasa-1)
    load 150 "$tokens" >/dev/null
    entry_time+=("$((tokens * 150))" $(($(cpu_of entry) - entry_before)))
    sidecar_time+=("$((tokens * 150))" $(($(cpu_of kasa-1) - sidecar_before)))
done
print_slopes "entry time per chunk" "us" "${entry_time[@]}"
print_slopes "sidecar time per chunk" "us" "${sidecar_time[@]}"

# Streams in progress: memory.
curl -s "127.0.0.1:$(port 60)/control" --data '{"first_token_ms":3000,"between_tokens_ms":1000}' >/dev/null
entry_memory=()
sidecar_memory=()
running=0
for n in 20 100 200; do
    while [ "$running" -lt "$n" ]; do
        curl -sN -o /dev/null --max-time 60 -H 'Authorization: Bearer demo-ridge-guards' --data "$(chat kasa-8b true "stream $running")" "http://127.0.0.1:$(port 80)/v1/chat/completions" &
        pids+=($!)
        running=$((running + 1))
    done
    sleep 1.5
    entry_memory+=("$n" "$(rss_of entry)")
    sidecar_memory+=("$n" "$(rss_of kasa-1)")
done
print_slopes "entry memory per stream" "KB" "${entry_memory[@]}"
print_slopes "sidecar memory per stream" "KB" "${sidecar_memory[@]}"

# Processor time of a sidecar that receives no new requests: reports to its subscribers, and the streams in progress.
before=$(cpu_of kasa-1)
sleep 5
echo "idle sidecar: $((($(cpu_of kasa-1) - before) / 5)) us/s with $running streams of one token a second"

# The router. One program acts as its store, worker and callers.
cat >"$work/router.json" <<JSON
{"NodeName":"router","Zone":"z","Ip":"127.0.0.10","Listen":{"Front":"127.0.0.1:$(port 300)","Ready":"127.0.0.1:$(port 301)"},
 "InternalPorts":[$(port 302),$(port 309)],"Seeds":[],"Platform":{"Address":"127.0.0.1:$(port 310)"},
 "Bounds":{"RevokeMs":5000,"GraceS":3,"DrainMs":2000,"BudgetRatio":0.2,"RetrySlack":54,"BudgetWindowS":10}}
JSON
start router $bin/kumquat-router --settings "$work/router.json"
$bin/tests/measure-router-load "$(port 310)" "$(port 320)" "$(port 300)" "$(pid_of router)" >"$work/router.txt"
print_router_slopes() { print_slopes "$1" "$2" $(awk -v kind="$3" '$1 == kind {print $2, $3}' "$work/router.txt"); }
print_router_slopes "router memory per idle connection" "KB" connections
print_router_slopes "router time per request" "us" requests
print_router_slopes "router time per event" "us" events
