#!/usr/bin/env bash
# Measures, with real processes, the time from an operator's apply until the version is effective on all four
# entry VMs, and the load on the store during that time and at rest. Usage: bench/configuration-rollout.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-5}
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
    wait || true
    rm -rf "$work"
}
trap finish EXIT
wait_for_file() { until [ -s "$1" ]; do sleep 0.05; done; }

build/standin/quay-standin platform --port-file "$work/platform" > /dev/null &
pids+=($!)
wait_for_file "$work/platform"
platform=$(head -1 "$work/platform")
for vm in d1-1 d1-2 d2-1 d2-2; do
    cat > "$work/$vm.toml" << T
name = "$vm"
domain = "${vm%-*}"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
port_file = "$work/$vm.ports"
[platform]
table = "$platform"
vm_list = "$platform"
T
    build/daemons/quayd --settings "$work/$vm.toml" > /dev/null 2>&1 &
    pids+=($!)
done
for vm in d1-1 d1-2 d2-1 d2-2; do wait_for_file "$work/$vm.ports"; done
export QUAY_ADDRESS QUAY_KEY=operator-key
QUAY_ADDRESS=$(awk '/callers/ { print $2 }' "$work/d1-1.ports")
until build/tools/quayctl config apply --wait docs/examples/base.toml > /dev/null 2>&1; do sleep 0.5; done
for run in $(seq "$runs"); do
    start=$(date +%s%N)
    build/tools/quayctl team set clinic --max-queued $((1000 + run)) > /dev/null 2>&1
    echo "run $run: in force on all after $((($(date +%s%N) - start) / 1000000)) ms"
done
echo "store at rest, all services, before and after 10 s:"
curl -s "http://$platform/admin/stats" && echo
sleep 10
curl -s "http://$platform/admin/stats" && echo
