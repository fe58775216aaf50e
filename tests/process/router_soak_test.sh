#!/usr/bin/env bash
# A randomized fault soak of real routers. Determined by a seed, signals kill, terminate, suspend and reload them, a proxy
# delays, blocks, resets and refuses their connections to the store and to workers, and store, workers and configuration
# change, while callers and workers check that no guarantee is violated. Every fifth seed has planned work only: routers are
# terminated and reloaded, no fault is injected, and no request may be cut off. In every fifth seed from 3 on, routers are only
# suspended and reloaded and links are sound, while the store is restored from older copies and workers state in their answers that
# they are leaving or busy. In every fifth seed from 4 on, some requests have a prompt part that crashes the worker, which the routers
# reach without the proxy, and have to stop sending. Of these, the odd seeds have one request that crashes workers in place of the
# part, and its caller repeats it, several times at once.
# From seed 1001 on, workers of several versions serve side by side, which the routers reach without the proxy, and callers take up
# streams that break off; routers are killed, terminated, suspended and reloaded, also all at once.
# From seed 2001 on, the store is silent right after a state has changed in it: a record or a configuration was written, or a lease
# renewed. Later a worker leaves, and gets no request after the drain time from routers that were in touch. In even seeds routers are
# only reloaded, in odd ones they are also killed, terminated and suspended. These seeds last 20 s at least.
# One router at a time reports to a stand-in of the platform's API, which is slow, silent or busy at times, except in the seeds with
# planned work only. What arrives there is judged after each seed. In every fifth seed from 1 on, below 1000, faults end after
# SOAK_SECONDS and the callers go on, so that the reports that follow are judged too.
# SOAK_EARLIER_ROUTER names the program of an earlier version, with which routers of an odd number run until their first restart.
# SOAK_SEEDS lists the seeds, SOAK_SECONDS is the duration of the faults of each, SOAK_CALM_SECONDS how long the callers go on after
# the faults in all seeds (at least 12, or 24 where the store is restored, for a window to be judged), SOAK_KEEP a folder for the logs
# of seeds that failed.
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh
limit_run SOAK_SEEDS

seconds=${SOAK_SECONDS:-6}
calm_seconds=${SOAK_CALM_SECONDS:-}
routers=3
workers=4
store_port=$(port 630)
worker_port=$(port 640)
proxied_store_port=$(port 650)
proxied_worker_port=$(port 660)
platform_api_port=$(port 670)
silence_port=$(port 680)
# How often each router was started.
starts=()

# write_settings ROUTER START: each process calls the platform's API at a loopback address of its own, by which the API tells processes
# apart whatever name they state.
write_settings() {
    local api_address="127.$(($1 + 1)).$(($2 / 250)).$(($2 % 250 + 1))"
    cat >"$work/router-$1.json" <<JSON
{"NodeName":"router-$1","Zone":"z","Ip":"127.0.0.$((10 + $1))","Listen":{"Front":"127.0.0.1:$(port $((600 + $1)))","Ready":"127.0.0.1:$(port $((610 + $1)))"},
 "InternalPorts":[$(port 620),$(port 629)],"Seeds":["127.0.0.10:1","127.0.0.11:1"],"Platform":{"Address":"127.0.0.1:$((proxied_store_port + $1))"},
 "CloudApi":{"Address":"$api_address:$platform_api_port","RatePerS":50.0,"Duties":["usage_report"],"DutyPerS":5.0},
 "Bounds":{"RevokeMs":5000,"GraceS":3,"DrainMs":2000,"BudgetRatio":0.2,"RetrySlack":54,"BudgetWindowS":10,
  "RequireFence":false,"LeaseMs":1500,"ThawMs":300,"WindowS":2,"UsageOff":0.05,"UsageLateS":5}}
JSON
}

# record_event ACTION ROUTER: tells the world what is done to a router's process, with the time in microseconds.
record_event() { echo "${EPOCHREALTIME/[.,]/} $1 $2" >>"$work/events"; }

start_router() {
    starts[$1]=$((${starts[$1]:-0} + 1))
    write_settings "$1" "${starts[$1]}"
    record_event started "$1"
    local program=$bin/kumquat-router
    if [ -n "${SOAK_EARLIER_ROUTER:-}" ] && [ $(($1 % 2)) -eq 1 ] && [ "${starts[$1]}" -eq 1 ]; then
        program=$SOAK_EARLIER_ROUTER
    fi
    start "router-$1" "$program" --settings "$work/router-$1.json"
}

start_exited_routers() {
    for number in $(seq 0 $((routers - 1))); do
        kill -0 "$(pid_of "router-$number")" 2>/dev/null || start_router "$number"
    done
}

# Kills all routers at once.
kill_all_routers() {
    for number in $(seq 0 $((routers - 1))); do
        record_event killed "$number"
        kill -KILL "$(pid_of "router-$number")" 2>/dev/null
    done
}

suspend_router() {
    record_event suspended "$1"
    kill -STOP "$2" 2>/dev/null && sleep "0.$((RANDOM % 9))"
    record_event resumed "$1"
    kill -CONT "$2" 2>/dev/null
}

# inject_fault KIND: sends a random signal to a random router, and restarts the routers that have exited. KIND is all, planned
# for signals that an operator sends, or restores for signals that no router exits on.
inject_fault() {
    local router=$((RANDOM % routers)) pid signal=$((RANDOM % 5))
    pid=$(pid_of "router-$router")
    [ "$1" = planned ] && signal=$((signal % 2 * 3 + 1))
    # A router that restarts excuses that it learns late what crashes upstreams, so these seeds only reload at first. Restarts
    # later on must not make the routers forget it.
    [[ $1 = crashes || $1 = repeats ]] && signal=$((SECONDS < seed_started + 10 ? 4 : signal))
    [ "$1" = restores ] && signal=$((signal % 2 + 3))
    [ "$1" = silences ] && signal=4
    [ "$1" = versions ] && [ $((RANDOM % 8)) -eq 0 ] && kill_all_routers
    case $signal in
    0) record_event killed "$router" && kill -KILL "$pid" 2>/dev/null ;;
    1 | 2) record_event terminated "$router" && kill -TERM "$pid" 2>/dev/null ;;
    3) suspend_router "$router" "$pid" ;;
    4) kill -HUP "$pid" 2>/dev/null ;;
    esac
    start_exited_routers
}

start_proxy() {
    local links=()
    # Each router has a separate link to the store, so that a fault can separate one router alone from the store.
    for number in $(seq 0 $((routers - 1))); do links+=("$((proxied_store_port + number))" "$store_port"); done
    for number in $(seq 0 $((workers - 1))); do links+=("$((proxied_worker_port + number))" "$((worker_port + number))"); done
    start "proxy-$1" "$bin/tests/soak-fault-proxy" "$2" "$3" "$silence_port" "$routers" "${links[@]}"
}

# run_soak SEED: runs the routers, the proxy and soak-router-world for one seed, and returns the exit code of the latter.
run_soak() {
    RANDOM=$1
    seed_started=$SECONDS
    rm -f "$work/events"
    local pause left ports=() world kind=all proxy_seed=$1 advertised_worker_port=$proxied_worker_port
    local faults seconds=$seconds
    if [ "$1" -gt 2000 ]; then
        kind=silences
        proxy_seed=0
        [ "$seconds" -ge 20 ] || seconds=20
    elif [ "$1" -gt 1000 ]; then
        kind=versions
        advertised_worker_port=$worker_port
    elif [ $(($1 % 5)) -eq 0 ]; then
        kind=planned
        proxy_seed=0
    elif [ $(($1 % 5)) -eq 3 ]; then
        kind=restores
        proxy_seed=0
    elif [ $(($1 % 5)) -eq 4 ]; then
        kind=crashes
        [ $(($1 % 2)) -eq 1 ] && kind=repeats
        proxy_seed=0
        advertised_worker_port=$worker_port
    fi
    for number in $(seq 0 $((routers - 1))); do
        ports+=("$(port $((600 + number)))")
    done
    faults=$kind
    [ "$kind" = silences ] && [ $(($1 % 2)) -eq 1 ] && faults=all
    local calm=$calm_seconds fault_seconds=0
    [ -z "$calm" ] && calm=$(($1 % 5 == 1 && $1 < 1000 ? 12 : 0))
    # The world waits a second before the faults.
    [ "$calm" -gt 0 ] && fault_seconds=$((seconds + 1))
    start_proxy "$1" "$proxy_seed" "$fault_seconds"
    local proxy=$started
    start "world-$1" "$bin/tests/soak-router-world" "$store_port" "$worker_port" "$advertised_worker_port" "$1" "$seconds" "$kind" "$platform_api_port" "$calm" "$work/events" "$silence_port" "${ports[@]}"
    world=$started
    for number in $(seq 0 $((routers - 1))); do start_router "$number"; done
    sleep 2
    while kill -0 "$world" 2>/dev/null; do
        if [ "$fault_seconds" -gt 0 ] && [ $((SECONDS - seed_started)) -gt "$seconds" ]; then
            start_exited_routers
            sleep 0.2
            continue
        fi
        inject_fault "$faults"
        # Two of three seeds pause up to 3 or 6 s between signals, so that a router is not restarted while it is separated from the
        # store and its configuration becomes stale.
        pause=$(($1 % 3 * (RANDOM % 4)))
        left=$((seed_started + seconds + 1 - SECONDS))
        # The routers that have exited are started again when the faults end.
        [ "$fault_seconds" -gt 0 ] && [ "$pause" -gt "$left" ] && pause=$((left > 0 ? left : 0))
        sleep "$pause.$((RANDOM % 9 + 1))"
    done
    wait "$world"
    local outcome=$?
    for number in $(seq 0 $((routers - 1))); do kill -KILL "$(pid_of "router-$number")" 2>/dev/null; done
    kill -KILL "$proxy" 2>/dev/null
    tail -5 "$work/world-$1.out"
    if [ "$outcome" -ne 0 ] && [ -n "${SOAK_KEEP:-}" ]; then
        mkdir -p "$SOAK_KEEP/$1" && cp "$work"/*.out "$work"/*.log "$SOAK_KEEP/$1/"
    fi
    rm -f "$work"/router-*.out
    return $outcome
}

# Seeds 15, 25, 30 and 35 have shown a fault: a router with a grace time of 3 s accepted requests that it then cut off.
for seed in ${SOAK_SEEDS:-1 2 3 4 9 15 1001 2001 2002}; do
    check "soak with seed $seed violates no guarantee" run_soak "$seed"
done
summary
