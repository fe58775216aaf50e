#!/usr/bin/env bash
# Runs real processes and checks the document: publishing it with kumquat-ctl, its propagation to entries and sidecars,
# concurrent publications, store responses that are lost, and a store that is unavailable or restored to an older version.
cd "$(dirname "$0")/../.." || exit 2
. tests/process/lib.sh

store=127.0.0.1:$(port 50)
control() { curl -sf -o /dev/null --data "$1" "http://$store/control"; }
call_count() { curl -s "http://$store/statistics" | jq -r ".calls.$1 // 0"; }
node() { echo "127.0.0.1:$(port "$1")"; }
admin_ports=(90 91 92 93)
ctl() { $bin/kumquat-ctl --object-api "$store" --node "$(node 90)" --node "$(node 91)" --node "$(node 92)" --node "$(node 93)" "$@"; }
generation_of() { curl -s "http://$(node "$1")/dump" | jq -r .generation; }
submission_of() { curl -s "http://$(node "$1")/dump" | jq -r .submission_id; }
# in_force GENERATION PORT...: succeeds when every node at these admin ports has exactly that generation in force.
in_force() {
    local expected=$1
    shift
    for number in "$@"; do
        [ "$(generation_of "$number")" = "$expected" ] || return 1
    done
}
# write_document TOTAL_MS: writes a document without a generation in which the class gate-pass has that total_ms target, and
# prints its path.
write_document() {
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

# Publishing one document after another.
check "an invalid document is refused" equal 1 "$(echo '{"format":1}' >"$work/bad.json" && ctl publish "$work/bad.json" --as ama >/dev/null 2>&1; echo $?)"
check "the first publication is accepted" ctl publish "$(write_document 1000)" --as ama
check "the first document is in force on entries and sidecars" eventually in_force 1 "${admin_ports[@]}"
answer=$(ctl --json publish "$(write_document 1100)" --as kofi)
check "the second publication is accepted" equal accepted "$(jq -r .outcome <<<"$answer")"
check "kumquat-ctl waited until every node had the second document in force" equal 4 "$(jq -r .nodes_in_force <<<"$answer")"
check "diff shows the path of the changed field with the name of its class" equal /classes/gate-pass/targets/total_ms "$(ctl --json diff "$(write_document 1200)" | jq -r '.changes[].path')"
check "diff of the document in force is empty" equal "no difference" "$(ctl diff "$(write_document 1100)")"
check "status names the operator" equal kofi "$(ctl --json status | jq -r .store.operator)"
conflict=$(ctl --json publish "$(write_document 1200)" --as esi --base 1)
check "a publication based on an older generation gets a conflict" equal "conflict kofi 2" "$(jq -r '"\(.outcome) \(.operator) \(.generation)"' <<<"$conflict")"

# Four operators publish on the same base at the same time: one publication is accepted, and the others get a conflict that
# names its operator.
publisher_pids=()
for number in 1 2 3 4; do
    ctl --json publish "$(write_document $((2000 + number)))" --as "racer-$number" --base 2 >"$work/race-$number.json" &
    publisher_pids+=($!)
done
wait "${publisher_pids[@]}"
check "one of four concurrent publications is accepted" equal 1 "$(jq -s '[.[] | select(.outcome == "accepted")] | length' "$work"/race-*.json)"
check "the other three get a conflict" equal 3 "$(jq -s '[.[] | select(.outcome == "conflict")] | length' "$work"/race-*.json)"
accepted_racer=$(jq -r 'select(.outcome == "accepted") | input_filename' "$work"/race-*.json | grep -o '[0-9]' | tail -1)
check "the conflicts name the operator of the accepted publication" equal "racer-$accepted_racer" "$(jq -rs '[.[] | select(.outcome == "conflict") | .operator] | unique | join(" ")' "$work"/race-*.json)"
check "the accepted document is in force" eventually in_force 3 "${admin_ports[@]}"

# When the store's response to a write is lost, the publisher reads the object back instead of writing it again.
writes=$(call_count writes)
control '{"lose_answers": 1}'
check "a publication whose write response is lost is accepted" equal accepted "$(ctl --json publish "$(write_document 1300)" --as ama | jq -r .outcome)"
check "the document was written once" equal $((writes + 1)) "$(call_count writes)"
check "the document is in force on all nodes" eventually in_force 4 "${admin_ports[@]}"

# When the store is restored to an older version, the nodes do not adopt it and write the document in force back.
newest=$(curl -s "http://$store/objects/kumquatspring/document")
submission=$(submission_of 92)
old=$(jq -n --slurpfile document "$(write_document 1000)" '{generation: 1, submission_id: "old", operator: "ama", history: {"1": {submission_id: "old", operator: "ama"}}, document: $document[0]} | tojson')
control "{\"restore\": {\"key\": \"kumquatspring/document\", \"version\": 1, \"value\": $old}}"
store_has_generation_4() { [ "$(curl -s "http://$store/objects/kumquatspring/document" | jq -r '.value | fromjson | .generation')" = 4 ]; }
check "the store has the document in force again" eventually store_has_generation_4
check "no node adopted the older document" in_force 4 "${admin_ports[@]}"
check "the document written back is the published submission" equal "$(jq -r '.value | fromjson | .submission_id' <<<"$newest")" "$(curl -s "http://$store/objects/kumquatspring/document" | jq -r '.value | fromjson | .submission_id')"
check "the submission in force is unchanged" equal "$submission" "$(submission_of 92)"
check "the next publication gets a greater generation than all before" equal "accepted 5" "$(ctl --json publish "$(write_document 1400)" --as esi | jq -r '"\(.outcome) \(.generation)"')"
check "it is in force on all nodes after the restore" eventually in_force 5 "${admin_ports[@]}"

# While the store is unavailable, starting nodes get the document from their peers, and no publication is accepted.
control '{"down": true}'
check "a publication while the store is unavailable is not sent" equal not_sent "$(ctl --json publish "$(write_document 1500)" --as ama | jq -r .outcome)"
start entry-3 $bin/kumquat-entry --settings "$(entry_settings entry-3 82 74 94 "$with_store | . + {document_peers: [\"$(peer 72)\"]}")"
check "an entry that starts while the store is unavailable has the document" eventually in_force 5 94
kill -KILL "$(pid_of dwumadie-1)"
# Its ports are free once it has ended.
wait "$(pid_of dwumadie-1)" 2>/dev/null
start dwumadie-1 $bin/kumquat-sidecar --settings "$work/dwumadie-1.json"
check "a sidecar that restarts while the store is unavailable has the document" eventually in_force 5 93
control '{"down": false}'
check "the next publication is accepted after the outage" ctl publish "$(write_document 1600)" --as ama
check "it is in force on all five nodes" eventually in_force 6 "${admin_ports[@]}" 94
check "dump prints the state of one node" equal entry-1 "$(ctl dump "$(node 90)" | jq -r .id)"

# explain finds a request on the nodes that processed it.
url=http://127.0.0.1:$(port 80)
check "the entry has reports of both sidecars" eventually has_healthy_reports 90 2
curl -s -o /dev/null -D "$work/head" -H "Authorization: Bearer demo-ridge-guards" --data '{"gate":1}' "$url/services/dwumadie/reports"
request=$(grep -i '^x-kumquat-request-id' "$work/head" | tr -d '\r' | cut -d' ' -f2)
check "the answer has a request id" test -n "$request"
check "explain finds the request on the sidecar" equal dwumadie-1 "$(ctl --json explain "$request" | jq -r '.found[0].node')"
check "explain fails for an unknown request" equal 1 "$(ctl explain no-such-request >/dev/null 2>&1; echo $?)"
summary
