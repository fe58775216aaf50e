#!/usr/bin/env bash
# Builds one preset: release (default), debug or tsan.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
cmake --preset "$preset" >/dev/null
ninja -C "build/$preset" --quiet
