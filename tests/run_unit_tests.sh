#!/usr/bin/env bash
# Runs the unit tests. KNOWN-RED.txt lists failing ones as "test NAME | ..."; they are run and printed, and don't fail the run. One
# of them that passes does fail it, so that its entry is removed together with the fault.
set -uo pipefail
program=$1
list="$(dirname "$0")/../KNOWN-RED.txt"
status=0
mapfile -t known < <(sed -n 's/^test \([^|]*[^| ]\) *|.*/\1/p' "$list")
excluded=""
for name in "${known[@]}"; do
    # A comma separates patterns of Catch2 unless it is escaped.
    pattern=${name//,/\\,}
    excluded+="~\"$pattern\""
    if "$program" "$pattern" >/dev/null 2>&1; then
        echo "KNOWN-RED test $name: passes now or is not a test, remove its entry"
        status=1
    else
        echo "KNOWN-RED test $name"
    fi
done
"$program" ${excluded:+"$excluded"} || status=$?
exit "$status"
