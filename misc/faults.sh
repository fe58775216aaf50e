#!/usr/bin/env bash
# Runs the fault test and prints, for each fault, the outcomes of the requests that were in progress. Fails if a check failed.
cd "$(dirname "$0")/.."
set -o pipefail
tests/process/faults_test.sh | grep -E '^fault=|FAILED|^ {8}|passed,'
