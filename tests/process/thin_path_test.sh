#!/usr/bin/env bash
# Runs real processes and checks the path of a request from caller to upstream: answers, invalid requests, callers that
# disconnect, start-up errors and draining.
cd "$(dirname "$0")/../.." || exit 2
. tests/process/lib.sh

document=$PWD/examples/consortium.json
start engine $bin/tests/stand-in-model-engine "$(port 60)" 8 20 10
start service $bin/tests/stand-in-plain-service "$(port 61)"
with_document=". + {document_file: \"$document\"}"
start kasa-1 $bin/kumquat-sidecar --settings "$(sidecar_settings kasa-1 kasa engine 60 72 92 "$with_document")"
start dwumadie-1 $bin/kumquat-sidecar --settings "$(sidecar_settings dwumadie-1 dwumadie plain 61 73 93 "$with_document")"
upstreams=". + {body_limit_bytes: 65536, upstreams: [{id: \"kasa-1\", service: \"kasa\", peer_address: \"tcp://127.0.0.1:$(port 72)\"}, {id: \"dwumadie-1\", service: \"dwumadie\", peer_address: \"tcp://127.0.0.1:$(port 73)\"}]}"
start entry $bin/kumquat-entry --settings "$(entry_settings entry 80 70 90 "$with_document | $upstreams")"
check "the entry has reports of both sidecars" eventually has_healthy_reports 90 2

url=http://127.0.0.1:$(port 80)
# post FILE PATH BODY [CURL_OPTION...]: sends a request, writes the answer's body to the file and prints the HTTP status.
post() {
    local file=$1 path=$2 body=$3
    shift 3
    curl -sN -o "$work/$file" -w '%{http_code}' -H "Authorization: Bearer ${key:-demo-ridge-guards}" --data "$body" "$@" "$url$path"
}
code_of() { jq -r .error.code "$work/$1"; }
# expect_error NAME STATUS CODE PATH BODY [CURL_OPTION...]: checks that the request is answered by this error and not executed.
expect_error() {
    local name=$1 status=$2 code=$3 path=$4 body=$5
    shift 5
    check "$name: status" equal "$status" "$(post error "$path" "$body" "$@")"
    check "$name: code" equal "$code" "$(code_of error)"
    check "$name: ran" equal no "$(jq -r .error.ran "$work/error")"
}
chat_path=/v1/chat/completions

check "a streamed request succeeds" equal 200 "$(post streamed $chat_path "$(chat kasa-8b true 'the same question')")"
check "a request without streaming succeeds" equal 200 "$(post whole $chat_path "$(chat kasa-8b false 'the same question')")"
stream_text "$work/streamed" >"$work/streamed.text"
jq -rj '.choices[0].message.content' "$work/whole" >"$work/whole.text"
check "the answer is not empty" test -s "$work/whole.text"
check "streamed and complete answers have the same text" cmp "$work/streamed.text" "$work/whole.text"
check "a text completion succeeds" equal 200 "$(post text /v1/completions '{"model":"kasa-8b","prompt":"hello"}')"
check "a plain service answers" equal 200 "$(post plain /services/dwumadie/passes '{"gate":1}')"
check "the plain answer contains the path that the service received" equal /passes "$(jq -r .path "$work/plain")"

expect_error "malformed JSON" 400 malformed_request $chat_path '{"model":'
expect_error "missing messages" 400 malformed_request $chat_path '{"model":"kasa-8b"}'
expect_error "unsupported option" 400 malformed_request $chat_path '{"model":"kasa-8b","messages":[{"role":"user","content":"x"}],"n":2}'
expect_error "unknown model" 404 unknown_model $chat_path "$(chat no-such-model false x)"
expect_error "unknown class" 400 unknown_class $chat_path "$(chat kasa-8b false x)" -H 'X-Kumquat-Class: no-such-class'
expect_error "unknown service" 404 unknown_service /services/no-such-service/x ''
key=wrong expect_error "bad key" 401 unauthenticated $chat_path "$(chat kasa-8b false x)"
expect_error "oversized body" 413 body_too_large $chat_path "$(chat kasa-8b false "$(head -c 70000 /dev/zero | tr '\0' x)")"

# An entry discards the reports of a sidecar that has another network key.
other_key='.network_key = "another-network-key-of-more-than-32-characters"'
start foreign $bin/kumquat-sidecar --settings "$(sidecar_settings foreign kasa engine 60 74 94 "$with_document | $other_key")"
foreign_upstream="{id: \"foreign\", service: \"kasa\", peer_address: \"tcp://127.0.0.1:$(port 74)\"}"
start entry-b $bin/kumquat-entry --settings "$(entry_settings entry-b 81 71 91 "$with_document | $upstreams | .upstreams += [$foreign_upstream]")"
check "an entry has reports of the sidecars with its network key" eventually has_healthy_reports 91 2
check "it has no report of the sidecar with another network key" equal null "$(curl -s "127.0.0.1:$(port 91)/dump" | jq -c '.upstreams[] | select(.id == "foreign") | .report')"

aborted() { curl -s "127.0.0.1:$(port 60)/statistics" | jq .aborted; }
check "the engine has aborted no answer so far" equal 0 "$(aborted)"
curl -s "127.0.0.1:$(port 60)/control" --data '{"between_tokens_ms":100}' >/dev/null
curl -sN --max-time 0.5 -o "$work/left" -H 'Authorization: Bearer demo-ridge-guards' --data "$(chat kasa-8b true 'a caller that leaves')" $url$chat_path
aborted_is() { [ "$(aborted)" = "$1" ]; }
check "the engine aborts when a caller disconnects during a stream" eventually aborted_is 1
curl -sN --max-time 0.5 -o "$work/left" -H 'Authorization: Bearer demo-ridge-guards' --data "$(chat kasa-8b false 'a caller that leaves early')" $url$chat_path
check "the engine aborts when a caller disconnects before the answer" eventually aborted_is 2

$bin/kumquat-entry --settings "$work/entry.json" >"$work/second.out" 2>"$work/second.err"
check "a port in use: exit code" equal 1 "$?"
check "a port in use: message" grep -q "cannot listen for callers at 127.0.0.1:$(port 80)" "$work/second.err"
jq '.callers.port = 70000' "$work/entry.json" >"$work/bad.json"
$bin/kumquat-entry --check --settings "$work/bad.json" >"$work/check.out" 2>"$work/check.err"
check "bad settings: exit code" equal 2 "$?"
check "bad settings: message" grep -q '/callers/port.*70000' "$work/check.err"
check "good settings pass the check" $bin/kumquat-entry --check --settings "$work/entry.json"
check "the version is printed" grep -q 'kumquat-entry 0' <($bin/kumquat-entry --version)

check "the metrics are served" grep -q kumquat_entry_finished_total <(curl -s "127.0.0.1:$(port 90)/metrics")
check "no network key is in a dump or log" bash -c "! curl -s 127.0.0.1:$(port 90)/dump | grep -q '$network_key' && ! grep -q '$network_key' '$work'/*.log"
check "no key is in a dump or log" bash -c "! curl -s 127.0.0.1:$(port 90)/dump | grep -q demo- && ! grep -q demo-ridge '$work/entry.log'"

# A draining process completes the requests that it has accepted. The stream takes more than 1 s; entry and sidecar are
# terminated at the same time while it is in progress.
post drained $chat_path "$(chat kasa-8b true 'a stream across a drain')" >"$work/drained.status" &
post_pid=$!
running() { [ "$(curl -s "127.0.0.1:$(port 60)/statistics" | jq .running)" = 1 ]; }
check "the stream has begun" eventually running
kill -TERM "$(pid_of entry)" "$(pid_of kasa-1)"
wait "$post_pid"
check "a stream in progress during a drain is answered" equal 200 "$(cat "$work/drained.status")"
check "the stream across the drain is complete" grep -q 'data: \[DONE\]' "$work/drained"
wait "$(pid_of entry)"
check "the entry exits with 0" equal 0 "$?"
wait "$(pid_of kasa-1)"
check "the sidecar exits with 0" equal 0 "$?"
summary
