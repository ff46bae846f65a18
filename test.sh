#!/usr/bin/env bash
# Builds and runs all tests. Arguments are passed to ctest.
set -euo pipefail
cd "$(dirname "$0")"
cmake --preset release > /dev/null
cmake --build --preset release > /dev/null
ctest --test-dir build --output-on-failure -j "$(nproc)" "$@"
