#!/usr/bin/env bash
# Regenerates the committed codec after a change to peer.proto.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p generated
protoc --cpp_out=generated peer.proto
