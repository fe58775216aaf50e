#!/usr/bin/env bash
# Builds one preset: release (default), debug or tsan. Further arguments name targets, instead of all.
set -euo pipefail
cd "$(dirname "$0")/.."
# Without absolute paths in ccache's keys, work trees share compiler results for equal sources.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
preset=${1:-release}
cmake --preset "$preset" >/dev/null
ninja -C "build/$preset" --quiet "${@:2}"
