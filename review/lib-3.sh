# Common to the scripts of the cases from 11 on. Source it from the case's folder, with the repository's root as the working directory.
# Needs the build of the deploy file and review/build-3.sh.
set -uo pipefail
stand_ins=target/review-3
work=$(mktemp -d)
started=()
# Ends what this script has started, by process id.
end_all() {
    local pid
    for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    [ -z "${KEEP:-}" ] || cp "$work"/*.log "$KEEP"; rm -rf "$work"
}
trap end_all EXIT
for program in target/kumquat-router "$stand_ins/ports"; do
    [ -x "$program" ] || { echo "$program is missing: build the deploy file's line, then review/build-3.sh"; exit 2; }
done

# router_settings NUMBER ZONE FRONT READY PEER STORE MEMORY_MB SEEDS_JSON: writes a router's settings and prints their path. The bounds
# are those of the site nkabom-rounds.
router_settings() {
    local host="127.0.0.$((20 + $1))"
    cat >"$work/router-$1.json" <<JSON
{"NodeName":"frontend-$2-$1","Role":"entry","MachineClass":"frontend","Serves":["frontend","control_plane"],"Ip":"$host","Zone":"$2","Region":"r","Zones":{"z1":"r","z2":"r","z3":"r"},
 "Listen":{"Front":"$host:$3","Ready":"$host:$4","Control":"$host:$5"},"InternalPorts":[$5,$5],"Seeds":$8,"Bootstrap":true,"CountsTowardLoss":false,
 "Limits":{"CpuShare":0.19,"Cores":1,"MemoryMb":$7,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0},"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
 "Bounds":{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"SyncS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigDeadlineMs":2000,"RollbackSlackMs":250,"MaxStretchMs":5000,"StrictRevoke":true,"RevokeMs":5000,"BudgetRatio":0.2,"BudgetWindowS":10,"RetrySlack":54,"RecoveryS":12,"PassMs":120,"ReuseWindowS":9.1},
 "Platform":{"Address":"127.0.0.1:$6","form":"objects","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,"ValueBytes":1048576,"TtlMinMs":1000}}
JSON
    echo "$work/router-$1.json"
}

# start_router NUMBER SETTINGS: starts the program of the deploy file's role, and puts its process id into $router.
start_router() {
    KUMQUATSPRING_SETTINGS=$2 target/kumquat-router >"$work/router-$1.log" 2>&1 &
    router=$!
    started+=("$router")
}
