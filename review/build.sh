#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -o target/review/standin review/standin/standin.cpp -lboost_json -lpthread
