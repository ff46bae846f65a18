#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts into target/review-3. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -g -Wall -o target/review-3/cases review/standin-3/main.cpp review/standin-3/platform.cpp \
    -lboost_json -lpthread
