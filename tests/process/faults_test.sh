#!/usr/bin/env bash
# Injects one fault after another into real processes under load. Checks that every request gets one complete answer or an
# error whose `ran` field is correct. For not-repeatable requests it also checks the executions that the plain service
# has counted. Prints one line for each fault.
cd "$(dirname "$0")/../.." || exit 2
. tests/process/lib.sh

requests_of_each_kind=8
key_header='Authorization: Bearer demo-ridge-guards'
chat_path=/v1/chat/completions
pass_path=/services/dwumadie/passes

common=". + {document_file: \"$PWD/examples/consortium.json\"}"
upstream() { echo "{id: \"$1\", service: \"$2\", peer_address: \"tcp://127.0.0.1:$(port "$3")\"}"; }
upstreams="upstreams: [$(upstream kasa-1 kasa 72), $(upstream kasa-2 kasa 73), $(upstream dwumadie-1 dwumadie 74), $(upstream dwumadie-2 dwumadie 75)]"
store="object_api: {port: $(port 62)}, claims: {timeout_ms: 800}"

start_entry() { start "entry-$1" $bin/kumquat-entry --settings "$(entry_settings "entry-$1" "8$1" "7$1" "9$1" "$common + {$upstreams, $store}")"; }
start_engine() { start "engine-$1" $bin/tests/stand-in-model-engine "$(port "6$((2 + $1))")" 16 20 40; }
# start_sidecar NAME SERVICE KIND UPSTREAM_PORT PEER_PORT
start_sidecar() { start "$1" $bin/kumquat-sidecar --settings "$(sidecar_settings "$1" "$2" "$3" "$4" "$5" "$(($5 + 20))" "$common")"; }
start_kasa_1() { start_sidecar kasa-1 kasa engine 63 72; }
start_dwumadie_1() { start_sidecar dwumadie-1 dwumadie plain 61 74; }

control() { curl -s "127.0.0.1:$(port "$1")/control" --data "$2" >/dev/null; }
all_sidecars_report() { has_healthy_reports 90 4 && has_healthy_reports 91 4; }

start object-api $bin/tests/stand-in-object-api "$(port 62)"
start service $bin/tests/stand-in-plain-service "$(port 61)"
start_engine 1
start_engine 2
start_kasa_1
start_sidecar kasa-2 kasa engine 64 73
start_dwumadie_1
start_sidecar dwumadie-2 dwumadie plain 61 75
start_entry 0
start_entry 1
check "both entries have reports of all sidecars" eventually all_sidecars_report
control 61 '{"delay_ms":400}'

# send NAME ENTRY PATH BODY [CURL_OPTION...]: sends one request and stores its body, the answer, the HTTP
# status and curl's exit code in files.
send() {
    local name=$work/requests/$1 url="127.0.0.1:$(port "8$2")$3" body=$4
    shift 4
    echo "$body" >"$name.sent"
    curl -sN -m 40 -o "$name.body" -w '%{http_code}' -H "$key_header" "$@" --data "$body" "$url" >"$name.status"
    echo $? >"$name.exit"
}

pass_body() { echo "{\"pass\":\"$1\"}"; }

# send_load FAULT: starts requests of every kind through both entries and returns while they are in progress.
send_load() {
    local number entry
    load=()
    for number in $(seq $requests_of_each_kind); do
        entry=$((number % 2))
        send "$1-chat-$number" $entry $chat_path "$(chat kasa-8b true "question $number")" &
        load+=($!)
        send "$1-plain-$number" $entry $pass_path "$(pass_body "$1-plain-$number")" &
        load+=($!)
        send "$1-keyed-$number" $entry $pass_path "$(pass_body "$1-keyed-$number")" -H "Idempotency-Key: $1-$number" &
        load+=($!)
    done
}

# executions NAME: prints how often the plain service has executed the request's body.
executions() { jq -r --arg body "/passes $(cat "$1.sent")" '.executions[$body] // 0' "$work/statistics"; }

# outcome_of NAME: prints the outcome of a request: whole (complete answer), no (error: not executed), unknown (error: may have
# been executed), cut (connection closed early) or wrong.
outcome_of() {
    local name=$1 ran
    if [ "$(cat "$name.status")" = 200 ]; then
        case $name in
        *-chat-*)
            if ! grep -q '^data: \[DONE\]' "$name.body"; then
                if grep -q '"error"' "$name.body"; then
                    grep -o '"ran":"[a-z]*"' "$name.body" | tail -n 1 | cut -d'"' -f4 | sed 's/yes/unknown/'
                else
                    echo cut
                fi
                return
            fi
            stream_text "$name.body" | cmp -s - "$work/expected-${name##*-}" && echo whole || echo wrong
            ;;
        *) [ "$(jq -r .echo "$name.body" 2>/dev/null)" = "$(cat "$name.sent")" ] && echo whole || echo wrong ;;
        esac
        return
    fi
    ran=$(jq -r '.error.ran // empty' "$name.body" 2>/dev/null)
    [ -z "$ran" ] && [ "$(cat "$name.exit")" != 0 ] && ran=cut
    echo "${ran:-wrong}" | sed 's/yes/unknown/'
}

# check_outcomes FAULT CUTS_ALLOWED: counts the outcomes of the requests that were sent for a fault, prints the counts and checks
# that no guarantee was violated.
check_outcomes() {
    local fault=$1 cuts_allowed=$2 name outcome count
    sent=0 whole=0 refused=0 unknown=0 executed_twice=0 false_refusals=0 wrong=0
    curl -s "127.0.0.1:$(port 61)/statistics" >"$work/statistics"
    for name in "$work/requests/$fault"-*.sent; do
        name=${name%.sent}
        sent=$((sent + 1))
        outcome=$(outcome_of "$name")
        count=0
        [[ $name = *-chat-* ]] || count=$(executions "$name")
        [ "$count" -gt 1 ] && executed_twice=$((executed_twice + 1))
        case $outcome in
        whole) whole=$((whole + 1)) ;;
        no)
            refused=$((refused + 1))
            [ "$count" -gt 0 ] && false_refusals=$((false_refusals + 1))
            ;;
        unknown) unknown=$((unknown + 1)) ;;
        cut) [ "$cuts_allowed" = yes ] && unknown=$((unknown + 1)) || wrong=$((wrong + 1)) ;;
        *) wrong=$((wrong + 1)) ;;
        esac
        [ "$outcome" = wrong ] && echo "        $(basename "$name"): $(cat "$name.status") $(head -c 300 "$name.body")"
    done
    echo "fault=$fault sent=$sent whole=$whole refused=$refused unknown=$unknown run_twice=$executed_twice told_not_run_but_ran=$false_refusals"
    check "$fault: every request got one complete answer or a correct error" equal 0 "$wrong"
    check "$fault: no request was executed twice" equal 0 "$executed_twice"
    check "$fault: no request was executed and answered as not executed" equal 0 "$false_refusals"
}

# repeat_keys FAULT: sends the request of each idempotency key again through the other entry. It may be executed now if it has
# not been before.
repeat_keys() {
    local number repeats=()
    for number in $(seq $requests_of_each_kind); do
        send "again-$1-keyed-$number" $((1 - number % 2)) $pass_path "$(pass_body "$1-keyed-$number")" -H "Idempotency-Key: $1-$number" &
        repeats+=($!)
    done
    wait "${repeats[@]}"
    check_outcomes "again-$1" no
}

mkdir "$work/requests"
for number in $(seq $requests_of_each_kind); do
    curl -sN -m 40 -H "$key_header" --data "$(chat kasa-8b true "question $number")" "127.0.0.1:$(port 80)$chat_path" >"$work/expected"
    stream_text "$work/expected" >"$work/expected-$number"
    check "expected answer $number is not empty" test -s "$work/expected-$number"
done

# run_fault NAME CUTS_ALLOWED: sends the load, calls inject_NAME while the load is in progress, and recover_NAME after it.
run_fault() {
    send_load "$1"
    sleep 0.25
    inject_"$1"
    wait "${load[@]}"
    recover_"$1"
    check "$1: all sidecars report again" eventually all_sidecars_report
    check_outcomes "$1" "$2"
    local refused_before=$refused whole_before=$whole
    repeat_keys "$1"
    refused=$refused_before whole=$whole_before
}

inject_none() { :; }
recover_none() { :; }
run_fault none no
check "without a fault every request is answered" equal $((3 * requests_of_each_kind)) "$whole"

# A killed process is restarted after the last report of its previous incarnation has expired.
report_timeout_s=4
# kill_now NAME...: kills processes and waits until they have exited.
kill_now() {
    local name
    for name; do
        kill -KILL "$(pid_of "$name")"
        wait "$(pid_of "$name")" 2>/dev/null
    done
}
inject_sidecar_killed() { kill_now kasa-1 dwumadie-1; sleep $report_timeout_s; start_kasa_1; start_dwumadie_1; }
recover_sidecar_killed() { :; }
run_fault sidecar_killed no

inject_entry_killed() { kill_now entry-0; }
recover_entry_killed() { start_entry 0; }
run_fault entry_killed yes

inject_sidecar_paused() { kill -STOP "$(pid_of kasa-1)" "$(pid_of dwumadie-1)"; sleep $((2 * report_timeout_s)); kill -CONT "$(pid_of kasa-1)" "$(pid_of dwumadie-1)"; }
recover_sidecar_paused() { :; }
run_fault sidecar_paused no

inject_engine_crash() { control 63 '{"crash":true}'; }
recover_engine_crash() { start_engine 1; }
run_fault engine_crash no

# store_fault NAME CONTROL: injects a fault into the store before the load is sent, and ends it after the last answer.
store_fault() {
    control 62 "$2"
    send_load "$1"
    wait "${load[@]}"
    control 62 '{"down":false,"delay_ms":0,"lose_answers":0}'
    check_outcomes "$1" no
}
store_fault store_down '{"down":true}'
check "store unavailable: every request with a key is refused, the others are answered" equal "$requests_of_each_kind $((2 * requests_of_each_kind))" "$refused $whole"
store_fault store_slow '{"delay_ms":2500}'
check "store slow: every request with a key is refused, the others are answered" equal "$requests_of_each_kind $((2 * requests_of_each_kind))" "$refused $whole"
# Waits until the delayed writes have taken effect. They must not block the keys.
sleep 3
repeat_keys store_down
check "after the outage every request with a key is answered" equal "$sent" "$whole"
repeat_keys store_slow
check "after the slow store every request with a key is answered" equal "$sent" "$whole"
store_fault store_answers_lost '{"lose_answers":6}'
check "store responses lost: every request is answered" equal "$sent" "$whole"
repeat_keys store_answers_lost
check "store responses lost: every repeated request is answered" equal "$sent" "$whole"

load=()
for number in $(seq $requests_of_each_kind); do
    for entry in 0 1; do
        send "same_key-$entry-keyed-$number" $entry $pass_path "$(pass_body "same_key-$number")" -H "Idempotency-Key: same-$number" &
        load+=($!)
    done
done
wait "${load[@]}"
check_outcomes same_key no
check "same key through two entries at the same time: one request of each pair is answered, the other gets that it is in progress" equal "$requests_of_each_kind $requests_of_each_kind" "$whole $unknown"
summary
