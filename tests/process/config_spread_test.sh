#!/usr/bin/env bash
# The document on real processes: publishing through kumquat-ctl, spread to entries and sidecars, racing operators,
# lost answers, and a store that is down or was restored to an older version.
cd "$(dirname "$0")/../.." || exit 2
. tests/process/lib.sh

store=127.0.0.1:$(port 50)
control() { curl -sf -o /dev/null --data "$1" "http://$store/control"; }
calls() { curl -s "http://$store/statistics" | jq -r ".calls.$1 // 0"; }
node() { echo "127.0.0.1:$(port "$1")"; }
admin_ports=(90 91 92 93)
ctl() { $bin/kumquat-ctl --object-api "$store" --node "$(node 90)" --node "$(node 91)" --node "$(node 92)" --node "$(node 93)" "$@"; }
generation_of() { curl -s "http://$(node "$1")/dump" | jq -r .generation; }
submission_of() { curl -s "http://$(node "$1")/dump" | jq -r .submission_id; }
# in_force GENERATION PORT...: succeeds when every node has exactly that generation in force.
in_force() {
    local wanted=$1
    shift
    for number in "$@"; do
        [ "$(generation_of "$number")" = "$wanted" ] || return 1
    done
}
# document TOTAL_MS: prints the path of a document in which gate passes have that target; it names no generation.
document() {
    jq --argjson total "$1" 'del(.generation) | .classes[0].targets.total_ms = $total' examples/consortium.json >"$work/document-$1.json"
    echo "$work/document-$1.json"
}

start store $bin/tests/stand-in-object-api "$(port 50)"
check "the store answers" eventually control '{}'
peer() { echo "tcp://127.0.0.1:$(port "$1")"; }
entry_item() { jq -nc --arg id "$1" --arg address "$(peer "$2")" '{id: $id, role: "entry", data_centre: "east-legon", address: $address}'; }
sidecar_item() { jq -nc --arg id "$1" --arg service "$2" --arg address "$(peer "$3")" '{id: $id, role: "sidecar", service: $service, data_centre: "east-legon", address: $address}'; }
control "{\"instances\": [$(entry_item entry-1 70), $(entry_item entry-2 71), $(sidecar_item kasa-1 kasa 72), $(sidecar_item dwumadie-1 dwumadie 73)]}"
start engine $bin/tests/stand-in-model-engine "$(port 60)" 8 20 10
start service $bin/tests/stand-in-plain-service "$(port 61)"
with_store=". + {object_api: {port: $(port 50)}}"
start kasa-1 $bin/kumquat-sidecar --settings "$(sidecar_settings kasa-1 kasa engine 60 72 92)"
start dwumadie-1 $bin/kumquat-sidecar --settings "$(sidecar_settings dwumadie-1 dwumadie plain 61 73 93)"
start entry-1 $bin/kumquat-entry --settings "$(entry_settings entry-1 80 70 90 "$with_store")"
start entry-2 $bin/kumquat-entry --settings "$(entry_settings entry-2 81 71 91 "$with_store")"
for number in "${admin_ports[@]}"; do
    check "node $number is up" eventually curl -sf "http://$(node "$number")/healthz"
done

# Publishing.
check "an invalid document is refused" equal 1 "$(echo '{"format":1}' >"$work/bad.json" && ctl publish "$work/bad.json" --as ama >/dev/null 2>&1; echo $?)"
check "the first publication is accepted" ctl publish "$(document 1000)" --as ama
check "it is in force on entries and sidecars" eventually in_force 1 "${admin_ports[@]}"
answer=$(ctl --json publish "$(document 1100)" --as kofi)
check "the second is accepted" equal accepted "$(jq -r .outcome <<<"$answer")"
check "acceptance waited until every node had it" equal 4 "$(jq -r .nodes_in_force <<<"$answer")"
check "diff shows the field by the name of its class" equal /classes/gate-pass/targets/total_ms "$(ctl --json diff "$(document 1200)" | jq -r '.changes[].path')"
check "diff against itself is empty" equal "no difference" "$(ctl diff "$(document 1100)")"
check "status names the operator" equal kofi "$(ctl --json status | jq -r .store.operator)"
stale=$(ctl --json publish "$(document 1200)" --as esi --base 1)
check "a publication from an older generation conflicts" equal "conflict kofi 2" "$(jq -r '"\(.outcome) \(.operator) \(.generation)"' <<<"$stale")"

# Racing operators: each generation belongs to one of them, and every loser is told.
racers=()
for number in 1 2 3 4; do
    ctl --json publish "$(document $((2000 + number)))" --as "racer-$number" --base 2 >"$work/race-$number.json" &
    racers+=($!)
done
wait "${racers[@]}"
check "one of four racing operators wins" equal 1 "$(jq -s '[.[] | select(.outcome == "accepted")] | length' "$work"/race-*.json)"
check "the others get a conflict" equal 3 "$(jq -s '[.[] | select(.outcome == "conflict")] | length' "$work"/race-*.json)"
winner=$(jq -r 'select(.outcome == "accepted") | input_filename' "$work"/race-*.json | grep -o '[0-9]' | tail -1)
check "the losers are told who won" equal "racer-$winner" "$(jq -rs '[.[] | select(.outcome == "conflict") | .operator] | unique | join(" ")' "$work"/race-*.json)"
check "the winner's document is in force" eventually in_force 3 "${admin_ports[@]}"

# A lost answer is resolved by reading back, and the document is written once.
writes=$(calls writes)
control '{"lose_answers": 1}'
check "a publication whose answer is lost is accepted" equal accepted "$(ctl --json publish "$(document 1300)" --as ama | jq -r .outcome)"
check "it took one write" equal $((writes + 1)) "$(calls writes)"
check "it is in force everywhere" eventually in_force 4 "${admin_ports[@]}"

# A store that was restored to an older version changes nothing, and gets the document back.
newest=$(curl -s "http://$store/objects/kumquatspring/document")
submission=$(submission_of 92)
old=$(jq -n --slurpfile document "$(document 1000)" '{generation: 1, submission_id: "old", operator: "ama", history: {"1": {submission_id: "old", operator: "ama"}}, document: $document[0]} | tojson')
control "{\"restore\": {\"key\": \"kumquatspring/document\", \"version\": 1, \"value\": $old}}"
repaired() { [ "$(curl -s "http://$store/objects/kumquatspring/document" | jq -r '.value | fromjson | .generation')" = 4 ]; }
check "the store is repaired" eventually repaired
check "no node went back" in_force 4 "${admin_ports[@]}"
check "the repaired document is the published one" equal "$(jq -r '.value | fromjson | .submission_id' <<<"$newest")" "$(curl -s "http://$store/objects/kumquatspring/document" | jq -r '.value | fromjson | .submission_id')"
check "the submission in force is unchanged" equal "$submission" "$(submission_of 92)"
check "the next publication goes above every generation" equal "accepted 5" "$(ctl --json publish "$(document 1400)" --as esi | jq -r '"\(.outcome) \(.generation)"')"
check "it is in force everywhere after the restore" eventually in_force 5 "${admin_ports[@]}"

# While the store is down nodes start from their peers, and nothing is accepted.
control '{"down": true}'
check "publishing without the store is not sent" equal not_sent "$(ctl --json publish "$(document 1500)" --as ama | jq -r .outcome)"
start entry-3 $bin/kumquat-entry --settings "$(entry_settings entry-3 82 74 94 "$with_store | . + {document_peers: [\"$(peer 72)\"]}")"
check "an entry that starts while the store is down has the document" eventually in_force 5 94
kill -KILL "$(pid_of dwumadie-1)"
start dwumadie-1 $bin/kumquat-sidecar --settings "$work/dwumadie-1.json"
check "a sidecar that restarts while the store is down has it too" eventually in_force 5 93
control '{"down": false}'
check "the next publication reaches all five nodes" ctl publish "$(document 1600)" --as ama
check "it is in force on the late ones" eventually in_force 6 "${admin_ports[@]}" 94
check "dump of one node is printed" equal entry-1 "$(ctl dump "$(node 90)" | jq -r .id)"

# explain finds a request where it is.
url=http://127.0.0.1:$(port 80)
check "the entry hears from both sidecars" eventually reporting 90 2
curl -s -o /dev/null -D "$work/head" -H "Authorization: Bearer demo-ridge-guards" --data '{"gate":1}' "$url/services/dwumadie/reports"
request=$(grep -i '^x-kumquat-request-id' "$work/head" | tr -d '\r' | cut -d' ' -f2)
check "the request has an id" test -n "$request"
check "explain shows the sidecar's view" equal dwumadie-1 "$(ctl --json explain "$request" | jq -r '.found[0].node')"
check "an unknown request is said to be unknown" equal 1 "$(ctl explain no-such-request >/dev/null 2>&1; echo $?)"
summary
