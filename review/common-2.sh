# Functions for the scripts review/6 to review/10. Each sources this file from its own folder.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
standin=$root/target/review-2/standin
record=$folder/record.txt
work=$(mktemp -d)
pids=()
declare -A pid_of
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
port=$((20000 + RANDOM % 10000))
host=desk.example
: > "$record"

finish() {
    for pid in "${pids[@]}"; do kill -9 "$pid" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$work"
}
trap finish EXIT

note() { echo "$(date +%s%3N) $*" >> "$record"; }
now() { date +%s%3N; }
cannot_run() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

if [ ! -x "$standin" ] || [ ! -x "$root/target/daemons/quay-edge" ]; then
    cannot_run "run the build of deploy/system.toml and review/build-2.sh first"
fi

store=$net.1:$port
start_store() { "$standin" store "$store" 2>> "$work/store.err" & pids+=($!); pid_of[store]=$!; disown $!; }

# start_executor ID NUMBER CPU LABELS [LINGER_MS]
start_executor() {
    "$standin" executor "$1" "$net.$((50 + $2)):$port" "$store" desk zone-a "$3" "$4" "$record" "${5:-0}" 2>> "$work/executor.err" &
    pids+=($!)
    pid_of[$1]=$!
    disown $!
}

# crash ID: kills an executor
crash() {
    note "crash of $1"
    kill -9 "${pid_of[$1]}"
}

# start_node NUMBER: with the command of deploy/system.toml, from the root of the repository
start_node() {
    local ip=$net.$((10 + $1)) file=$work/node-$1.json
    cat > "$file" << JSON
{"node":"edge-$1","role":"node","machineClass":"edge","serves":["edge"],"ip":"$ip","zone":"zone-a","region":"r",
"zones":{"zone-a":"r"},"listen":{"front":"$ip:$port","readiness":"$ip:$((port + 1))"},"portRange":[$((port + 2)),$((port + 9))],
"seeds":[],"bootstrap":true,"limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
"bounds":{"stableMs":3000,"ackTimeoutMs":4000,"drainMs":2000,"graceS":6,"configApplyMs":2000,"maxHoldMs":6000,"stopMs":900,"cancel_ms":3000,"visible_ms":3000,"finish_s":14,"status_s":120},
"controlMode":"call","advice":"$store",
"platform":{"address":"$store","form":"table","writesPerS":800,"readsPerS":2000,"txMs":8.0,"partitionWritesS":150,"rowBytes":65536,"across":false,"historyS":20}}
JSON
    (cd "$root" && BUCKTHORNQUAY_NODE_FILE=$file exec target/daemons/quay-edge > "$work/node-$1.log" 2>&1) &
    pids+=($!)
    pid_of[node-$1]=$!
    disown $!
    nodes=${nodes:+$nodes,}$ip:$port
}

# put_config FILE: what the operator writes to the store
put_config() {
    "$standin" operator "$store" "$1" || cannot_run "the store takes no configuration"
    note "operator put $(tr -d '\n' < "$1")"
}

# Waits until all nodes are ready and one of them runs jobs.
await_nodes() {
    local node until=$(($(date +%s) + 20))
    for node in ${nodes//,/ }; do
        until "$standin" call GET "${node%:*}:$((port + 1))" /ready "$host" - > /dev/null 2>&1; do
            [ "$(date +%s)" -lt "$until" ] || cannot_run "node $node does not get ready"
            sleep 0.1
        done
    done
}

# call METHOD TARGET KEY [BODY]: at the first node
call() {
    local answer
    answer=$("$standin" call "$1" "${nodes%%,*}" "$2" "$host" "$3" "${4:-}")
    note "$1 $2 -> $answer"
    echo "$answer"
}
