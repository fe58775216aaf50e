#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the benchmarks need.
set -euo pipefail
packages=(ccache cmake ninja-build g++ clang clang-format clang-tidy pkg-config curl jq git
    libasio-dev libnng-dev prometheus-cpp-dev libcpp-httplib-dev libhttp-parser-dev libcxxopts-dev libspdlog-dev
    libtrompeloeil-cpp-dev libvalijson-dev catch2 nlohmann-json3-dev libssl-dev libxxhash-dev
    librapidcheck-dev libbenchmark-dev libclang-rt-14-dev zlib1g-dev spin gnuplot-nox valgrind)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
