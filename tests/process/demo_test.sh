#!/usr/bin/env bash
# Runs the first command of the README and checks that every request is answered.
cd "$(dirname "$0")/../.." || exit 2
output=$(misc/demo.sh 2>&1)
if grep -qx 'demo: 6 requests, 6 answered' <<<"$output"; then
    echo "1 passed, 0 failed"
    exit 0
fi
echo "$output"
echo "0 passed, 1 failed"
exit 1
