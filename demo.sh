#!/usr/bin/env bash
# Builds everything and runs the main job on a small local fleet: a table service, workers and executors,
# two failure domains with two entry VMs each; then one interactive request, one batch job, one gang, one service.
set -euo pipefail
cd "$(dirname "$0")"
cmake --preset release > /dev/null
cmake --build --preset release > /dev/null
work=$(mktemp -d)
pids=()
daemons=()
finish() {
    # The daemons first: their drain needs the table service.
    for pid in "${daemons[@]}"; do kill "$pid" 2> /dev/null || true; done
    for pid in "${daemons[@]}"; do wait "$pid" || true; done
    for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
    wait || true
    rm -rf "$work"
}
trap finish EXIT

wait_for_file() {
    for _ in $(seq 200); do
        [ -s "$1" ] && return
        sleep 0.1
    done
    echo "no $1 after 20 s" >&2
    exit 1
}

wait_until() {
    for _ in $(seq 300); do
        "$@" > /dev/null 2>&1 && return
        sleep 0.1
    done
    echo "not reached after 30 s: $*" >&2
    "$@" >&2 || true
    exit 1
}

build/standin/quay-standin platform --port-file "$work/platform" > /dev/null &
pids+=($!)
wait_for_file "$work/platform"
platform=$(head -1 "$work/platform")

for domain in d1 d2; do
    build/standin/quay-standin backend --domain $domain --platform "$platform" --workers 4 --executors 6 \
        --port-file "$work/backend-$domain" > /dev/null &
    pids+=($!)
    for n in 1 2; do
        cat > "$work/$domain-$n.toml" << T
name = "$domain-entry$n"
domain = "$domain"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
port_file = "$work/$domain-$n.ports"
[platform]
table = "$platform"
vm_list = "$platform"
T
        build/daemons/quayd --settings "$work/$domain-$n.toml" &
        daemons+=($!)
    done
done
for domain in d1 d2; do
    for n in 1 2; do wait_for_file "$work/$domain-$n.ports"; done
done

ctl=build/tools/quayctl
export QUAY_ADDRESS
QUAY_ADDRESS=$(awk '/callers/ { print $2 }' "$work/d1-1.ports")
echo "== configuration"
wait_until $ctl config apply docs/examples/base.toml
export QUAY_KEY=operator-key
wait_until sh -c "$ctl --output json fleet | grep -q '\"configuration_version\":[1-9]'"
wait_until sh -c "test \$($ctl --output json fleet | grep -o '\"leads\":true' | wc -l) = 2"
$ctl fleet

echo "== one interactive request"
export QUAY_KEY=clinic-key
wait_until $ctl ask lookup --body "probe"
$ctl ask lookup --body "walking stick"

echo "== one batch job of four tasks"
export QUAY_KEY=agents-key
wait_until $ctl job submit nightly --tasks 4 --request-id demo-batch
job=$($ctl --output json job submit nightly --tasks 4 --request-id demo-batch | sed 's/.*"id":"\([^"]*\)".*/\1/')
$ctl job wait "$job"

echo "== one gang of three, in the other failure domain"
job=$($ctl --output json job submit nightly --kind gang --tasks 3 --idempotent --domain d2 --request-id demo-gang |
    sed 's/.*"id":"\([^"]*\)".*/\1/')
$ctl job wait "$job"
$ctl job explain "$job"
echo "== done"
