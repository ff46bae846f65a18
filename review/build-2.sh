#!/usr/bin/env bash
# Builds the stand-in of the scripts in review/6 to review/10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -pthread review/standin-2/standin.cpp -o target/review-2/standin -lboost_json
