#!/usr/bin/env bash
# Prints for each fault what became of the requests that were in progress; fails if a promise was broken.
cd "$(dirname "$0")/.."
set -o pipefail
tests/process/faults_test.sh | grep -E '^fault=|FAILED|^ {8}|passed,'
