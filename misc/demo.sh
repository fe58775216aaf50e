#!/usr/bin/env bash
# Runs both example deployments on this machine: stand-ins for the upstreams, two entries and four sidecars, and sends one
# request of each class. With --stay the processes run until the script is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
misc/install.sh
misc/build.sh release
bin=build/release
out=out/demo
mkdir -p "$out"
pids=()
# Terminates the processes in reverse order, because a draining entry still stores the outcomes of claimed requests in the
# object API.
stop_all() {
    for ((index = ${#pids[@]} - 1; index >= 0; --index)); do
        kill "${pids[index]}" 2>/dev/null || true
        wait "${pids[index]}" 2>/dev/null || true
    done
}
trap stop_all EXIT
# start NAME COMMAND...: starts a process in the background, with its output in out/demo.
start() {
    local name=$1
    shift
    "$@" >"$out/$name.out" 2>"$out/$name.log" &
    pids+=($!)
}
# Idempotency keys of gate passes and receipts are claimed in the object API of each deployment.
start object-api-consortium $bin/tests/stand-in-object-api 18064
start object-api-archive $bin/tests/stand-in-object-api 18065
start engine-kasa $bin/tests/stand-in-model-engine 18060 8 40 8
start service-dwumadie $bin/tests/stand-in-plain-service 18061
start engine-kumquat-llm $bin/tests/stand-in-model-engine 18062 8 40 8
start service-archive-app $bin/tests/stand-in-plain-service 18063
for settings in examples/settings/sidecar-*.json; do
    start "$(basename "$settings" .json)" $bin/kumquat-sidecar --settings "$settings"
done
for settings in examples/settings/entry-*.json; do
    start "$(basename "$settings" .json)" $bin/kumquat-entry --settings "$settings"
done
# Waits until each entry has the reports of its two sidecars; it cannot dispatch requests before.
for port in 18090 18091; do
    for _ in $(seq 100); do
        reported=$(curl -s "127.0.0.1:$port/dump" | jq '[.upstreams[]? | select(.report)] | length' 2>/dev/null || echo 0)
        [ "${reported:-0}" -ge 2 ] && break
        sleep 0.1
    done
done

answered=0
requests=0
rows=()
# send_request NAME CLASS PORT KEY PATH BODY: sends one request, prints its answer, and adds its times to the table.
send_request() {
    local name=$1 class=$2 port=$3 key=$4 path=$5 body=$6
    local file="$out/answer-$class" times status outcome
    times=$(curl -sN -o "$file" -w '%{http_code} %{time_starttransfer} %{time_total}' \
        -H "Authorization: Bearer $key" -H "X-Kumquat-Class: $class" -H 'Content-Type: application/json' \
        -H "Idempotency-Key: demo-$$-$class" --data "$body" "http://127.0.0.1:$port$path") || true
    read -r status first total <<<"$times"
    requests=$((requests + 1))
    outcome=failed
    if [ "$status" = 200 ] && { [[ $path = /services/* ]] || grep -q 'data: \[DONE\]' "$file"; }; then
        answered=$((answered + 1))
        outcome=answered
    fi
    echo "--- $name"
    if [[ $path = /services/* ]]; then
        cat "$file"
        echo
    else
        grep -o '^data: {.*' "$file" | sed 's/^data: //' | jq -rj '.choices[0].delta.content // empty'
        echo
    fi
    rows+=("$(printf '%-26s %10s s %10s s  %s' "$name" "$first" "$total" "$outcome")")
}
# chat MODEL TEXT: prints the body of a streamed chat request.
chat() { printf '{"model":"%s","stream":true,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2"; }
send_request "patrol handover summary" handover-summary 18080 demo-ridge-guards /v1/chat/completions "$(chat kasa-8b 'Summarise the night patrol for the day shift.')"
send_request "gate pass" gate-pass 18080 demo-osu-grounds /services/dwumadie/passes '{"visitor":"plumber","gate":"north"}'
send_request "sermon summary" sermon-summary 18081 demo-bangkok-librarians /v1/chat/completions "$(chat dhamma-13b 'Summarise the whole sermon on patience.')"
send_request "passage question" passage-question 18081 demo-monks /v1/chat/completions "$(chat dhamma-13b 'What does the third passage say of kindness?')"
send_request "title lookup" title-lookup 18081 demo-public-listeners /v1/chat/completions "$(chat dhamma-13b 'Find titles on the rains retreat.')"
send_request "donor receipt" donor-receipt 18081 demo-donors /services/archive-app/receipts '{"donation":"1042"}'
echo
printf '%-26s %12s %12s  %s\n' request "first byte" total outcome
printf '%s\n' "${rows[@]}"
echo "demo: $requests requests, $answered answered"
if [ "${1:-}" = --stay ]; then
    echo "Try: curl -N -H 'Authorization: Bearer demo-ridge-guards' -H 'X-Kumquat-Class: handover-summary' --data '$(chat kasa-8b hello)' http://127.0.0.1:18080/v1/chat/completions"
    echo "Running; interrupt to stop."
    wait
fi
[ "$answered" = "$requests" ]
