#!/usr/bin/env bash
# Guards against requests that are lost (rule LOST of the platform): real routers with the limits of two deployments are stopped, reloaded
# and configured anew under the deployment's mix of requests, and a judge applies the rule to what clients and workers have noted.
# LOST_RUNS lists runs as SITE:SCENARIO:LOAD:SEED. A site is dhammasiri or nkabom, with -burst in a burst of its longest kind of request,
# with -short with its short requests alone. The load is a multiple of the sheet's. Scenarios are stops, reloads, mixed (stops beside reloads
# and configurations, with a second SIGTERM and a SIGHUP during a stop), throttled (stops of routers that run for a quarter of each tenth of a
# second, as with a quota of a processor), suspended and busy. The last two are disruptions, which the rule excuses: they show what is left. LOST_ROUTER names another router to run, LOST_KEEP a folder for the notes and logs of all runs.
cd "$(dirname "$0")/../.." || exit 1
. tests/process/lib.sh

router_program=${LOST_ROUTER:-$bin/kumquat-router}
routers=4
grace_ms=8000
store_port=$(port 830)
first_worker_port=$(port 840)
declare -A stopping_since

now_ms() { now=$((${EPOCHREALTIME/[.,]/} / 1000)); }

# record_event ACTION ROUTER: notes what is done to a router, named by its port, or to all with 0.
record_event() { echo "${EPOCHREALTIME/[.,]/} $1 $2" >>"$work/events"; }

# write_settings ROUTER MEMORY_MB REVOKE_MS
write_settings() {
    cat >"$work/router-$1.json" <<JSON
{"NodeName":"router-$1","Zone":"z","Ip":"127.0.0.$((10 + $1))","Listen":{"Front":"127.0.0.1:$(port $((800 + $1)))","Ready":"127.0.0.1:$(port $((810 + $1)))"},
 "InternalPorts":[$(port 820),$(port 829)],"Seeds":["127.0.0.10:1","127.0.0.11:1"],"Platform":{"Address":"127.0.0.1:$store_port"},
 "Limits":{"CpuShare":0.19,"Cores":1,"MemoryMb":$2,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0},
 "Bounds":{"ContactMs":3000,"RevokeMs":$3,"GraceS":8,"DrainMs":2000,"BudgetRatio":0.2,"RetrySlack":54,"BudgetWindowS":10}}
JSON
}

start_router() {
    record_event started "$(port $((800 + $1)))"
    start "router-$1" "$router_program" --settings "$work/router-$1.json"
}

ready() { [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(port $((810 + $1)))/readyz")" = 200 ]; }

# act ACTION ROUTER
act() {
    local pid number
    number=$(port $((800 + $2)))
    pid=$(pid_of "router-$2")
    case $1 in
    stop)
        record_event terminated "$number"
        kill -TERM "$pid" 2>/dev/null
        now_ms
        stopping_since[$2]=$now
        ;;
    # Sent while the router is stopping: not another stop.
    terminate) kill -TERM "$pid" 2>/dev/null ;;
    reload)
        write_settings "$2" "$memory_mb" $((4000 + RANDOM % 1000))
        record_event reloaded "$number"
        kill -HUP "$pid" 2>/dev/null
        ;;
    publish)
        record_event publishing 0
        curl -s -d '' "http://127.0.0.1:$store_port/publish"
        record_event acknowledged 0
        ;;
    suspend)
        record_event suspended "$number"
        kill -STOP "$pid" 2>/dev/null
        ;;
    resume)
        record_event resumed "$number"
        kill -CONT "$pid" 2>/dev/null
        ;;
    esac
}

# Kills routers that have not ended within the grace time, and starts those that have ended again.
supervise() {
    local number pid
    for number in "${!stopping_since[@]}"; do
        pid=$(pid_of "router-$number")
        now_ms
        if kill -0 "$pid" 2>/dev/null; then
            [ $((now - stopping_since[$number])) -ge $grace_ms ] || continue
            record_event killed "$(port $((800 + number)))"
            kill -KILL "$pid"
            wait "$pid" 2>/dev/null
        else
            record_event ended "$(port $((800 + number)))"
        fi
        unset "stopping_since[$number]"
        start_router "$number"
    done
}

# at MILLISECONDS ACTION ROUTER: prints a line of the schedule, up to 300 ms later.
at() { echo "$(($1 + RANDOM % 300)) $2 $3"; }

# Prints what is done when: a stop alone, two that overlap, and one more.
stops() {
    at 4000 stop 0
    at 13000 stop 1
    at 14000 stop 2
    at 22500 stop 3
}

reloads() {
    local step
    for step in $(seq 0 14); do
        at $((3000 + 700 * step)) publish 0
        at $((3000 + 700 * step)) reload $((step % routers))
    done
}

mixed() {
    local number stop
    for number in 0 1 2 3; do
        stop=$((4000 + 5000 * number))
        at $((stop - 200)) publish 0
        at $((stop - 300)) reload "$number"
        at $stop stop "$number"
        at $((stop + 900)) terminate "$number"
        at $((stop + 1500)) reload "$number"
        at $((stop + 3300)) publish 0
        at $((stop + 3400)) terminate "$number"
    done
}

suspended() {
    stops
    local begin number
    while read -r begin number; do
        at $((begin + 3250)) suspend "$number"
        at $((begin + 3650)) resume "$number"
        at $((begin + 7300)) suspend "$number"
        at $((begin + 7650)) resume "$number"
    done <<<$'4000 0\n13000 1\n22500 3'
}

# Lets the routers run for 25 of 100 ms, until it is killed.
throttle() {
    local number
    while :; do
        for number in $(seq 0 $((routers - 1))); do kill -STOP "$(<"$work/router-$number.pid")" 2>/dev/null; done
        read -rt 0.075 <>"$work/pause"
        for number in $(seq 0 $((routers - 1))); do kill -CONT "$(<"$work/router-$number.pid")" 2>/dev/null; done
        read -rt 0.025 <>"$work/pause"
    done
}

# run_lost SITE SCENARIO LOAD SEED: returns the exit code of the judge.
run_lost() {
    RANDOM=$4
    memory_mb=$([[ $1 = nkabom* ]] && echo 260 || echo 110)
    local schedule begin due=0 number ports=() clients surroundings busy=() steps=$2
    [[ $2 = busy || $2 = throttled ]] && steps=stops
    mapfile -t schedule < <("$steps" | sort -n)
    rm -f "$work"/events "$work"/*.notes "$work"/*.log
    start surroundings "$bin/tests/lost-surroundings" "$1" "$4" "$store_port" "$first_worker_port" "$work/workers.notes"
    surroundings=$started
    eventually curl -s -o /dev/null "http://127.0.0.1:$store_port/objects/config"
    for number in $(seq 0 $((routers - 1))); do
        write_settings "$number" "$memory_mb" 5000
        start_router "$number"
        ports+=("$(port $((800 + number)))" "$(port $((810 + number)))")
    done
    for number in $(seq 0 $((routers - 1))); do eventually ready "$number"; done
    if [ "$2" = busy ]; then
        record_event slowed 0
        for number in 1 2 3 4; do
            start "busy-$number" bash -c 'while :; do :; done'
            busy+=("$started")
        done
    fi
    if [ "$2" = throttled ]; then
        [ -e "$work/pause" ] || mkfifo "$work/pause"
        start throttle throttle
        busy+=("$started")
    fi
    read -r due _ <<<"${schedule[-1]}"
    start clients "$bin/tests/lost-clients" "$1" "$4" $((due / 1000 + 9)) "$3" 40 "$work/clients.notes" "${ports[@]}"
    clients=$started
    now_ms
    begin=$now
    while kill -0 "$clients" 2>/dev/null; do
        while [ ${#schedule[@]} -gt 0 ]; do
            now_ms
            read -r due action number <<<"${schedule[0]}"
            [ $((now - begin)) -ge "$due" ] || break
            act "$action" "$number"
            schedule=("${schedule[@]:1}")
        done
        supervise
        sleep 0.02
    done
    wait "$clients"
    if ! kill -0 "$surroundings"; then
        echo "the surroundings have ended during the run"
        return 2
    fi
    for number in "${busy[@]}" "$surroundings"; do kill -KILL "$number"; done
    for number in $(seq 0 $((routers - 1))); do kill -KILL "$(pid_of "router-$number")" 2>/dev/null; done
    wait 2>/dev/null
    stopping_since=()
    "$bin/tests/lost-judge" "$work/clients.notes" "$work/workers.notes" "$work/events" >"$work/verdict"
    local outcome=$?
    # All cases are in the verdict that LOST_KEEP keeps.
    awk '!/^LOST (planned work|kept channel):/ || ++cases <= 12' "$work/verdict"
    if [ -n "${LOST_KEEP:-}" ]; then
        mkdir -p "$LOST_KEEP/$1-$2-$3-$4"
        cp "$work"/*.notes "$work"/*.log "$work"/*.out "$work/events" "$work/verdict" "$LOST_KEEP/$1-$2-$3-$4/"
    fi
    rm -f "$work"/*.out
    return $outcome
}

for run in ${LOST_RUNS:-dhammasiri-burst:stops:2:1 nkabom-burst:mixed:1.8:23}; do
    IFS=: read -r site scenario load seed <<<"$run"
    check "$scenario at $load times the load of $site, seed $seed, lose no request" run_lost "$site" "$scenario" "$load" "$seed"
done
summary
