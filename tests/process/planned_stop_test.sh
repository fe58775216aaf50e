#!/usr/bin/env bash
# Stops one router by SIGTERM while its store doesn't answer a write of the duties' lease. Guards against a process that waits for the
# store beyond the grace, and against requests that end without an answer: one that an upstream works on, one that is half sent, and one
# whose caller sends it in small pieces. It checks no times.
cd "$(dirname "$0")/../.." || exit 2
. tests/process/lib.sh

store_port=$(port 710)
upstream_port=$(port 711)
caller_port=$(port 712)
admin_port=$(port 713)

start surroundings "$bin/tests/stand-in-router-surroundings" "$store_port" "$upstream_port"
# The write of the lease begins after half of LeaseMs and is given up after as long again, which is later than the end of the grace.
cat >"$work/router.json" <<JSON
{"NodeName":"router","Zone":"z","Ip":"127.0.0.1","Listen":{"Front":"127.0.0.1:$caller_port","Ready":"127.0.0.1:$admin_port"},
 "InternalPorts":[$(port 714)],"Seeds":[],"Platform":{"Address":"127.0.0.1:$store_port"},
 "CloudApi":{"Address":"127.0.0.1:$store_port","Duties":["usage_report"],"RatePerS":10,"DutyPerS":10},
 "Bounds":{"RevokeMs":5000,"GraceS":4,"DrainMs":2000,"BudgetRatio":0.2,"RetrySlack":54,"BudgetWindowS":10,"LeaseMs":20000,"WindowS":5,"UsageLateS":20}}
JSON
start router "$bin/kumquat-router" --settings "$work/router.json"
router=$started

head_of() { printf 'POST /read/ordinary HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Attempt-Id: %s\r\nContent-Length: 1000\r\n\r\n' "$1"; }
lease_is_written() { grep -q 'duties written' "$work/surroundings.out"; }

# send_body NAME COMMAND...: sends a head and what the command prints, and keeps what the router sends until it closes.
send_body() {
    local name=$1
    shift
    exec 3<>"/dev/tcp/127.0.0.1/$caller_port"
    head_of "$name" >&3
    "$@" >&3 2>/dev/null &
    cat <&3 >"$work/$name.answer" 2>/dev/null
}
print_half() { printf '%500s' ''; }
print_pieces() { for _ in $(seq 100); do printf x || return; sleep 0.2; done; }

eventually lease_is_written
kill -TERM "$router"
curl -s -m 20 -o /dev/null -w '%{http_code}' -H 'Host: h' -H 'Authorization: Bearer key' -H 'X-Attempt-Id: held' "http://127.0.0.1:$caller_port/read/hold" >"$work/held.answer" &
callers=$!
send_body half print_half &
callers+=" $!"
send_body pieces print_pieces &
callers+=" $!"
wait "$router"
ended=$?
# shellcheck disable=SC2086
wait $callers
check "the process ends by itself" equal 0 "$ended"
check "its end has not waited for the store" equal 0 "$(grep -c duty_store_failed "$work/router.out")"
check "a request at an upstream is answered 504" equal 504 "$(cat "$work/held.answer")"
check "a request that is half sent is answered 503" equal "HTTP/1.1 503" "$(head -c 12 "$work/half.answer")"
check "a request that is sent in small pieces is answered 503" equal "HTTP/1.1 503" "$(head -c 12 "$work/pieces.answer")"
summary
