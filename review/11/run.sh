#!/usr/bin/env bash
# Case 11: streams that hold events of two software versions after the store was silent for three seconds. See claim.txt.
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
. review/lib-3.sh
read -r store w0 w1 w2 w3 front ready peer <<<"$("$stand_ins/ports" 8)"
seeds="[\"127.0.0.20:$peer\",\"127.0.0.21:$peer\",\"127.0.0.22:$peer\"]"
addresses=()
for number in 0 1 2; do
    settings=$(router_settings "$number" "z$((number + 1))" "$front" "$ready" "$peer" "$store" 260 "$seeds")
    addresses+=("127.0.0.$((20 + number)):$front:$ready")
    start_router "$number" "$settings"
done
timeout 100 "$stand_ins/joined-versions" review/11/record.txt "$store" "$w0" "$w1" "$w2" "$w3" "${addresses[@]}" &
started+=($!)
wait $!
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
