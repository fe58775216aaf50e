#!/usr/bin/env bash
# Builds one preset: release (default), debug or tsan.
set -euo pipefail
cd "$(dirname "$0")/.."
# Equal sources share compiler results between work trees.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
preset=${1:-release}
cmake --preset "$preset" >/dev/null
ninja -C "build/$preset" --quiet
