# Shared by the scripts: starts the platform's stand-in, nodes (the command of deploy/system.toml) and executors on
# loopback addresses of their own, and ends all of them at exit. Sourced by run.sh, with HERE set to its folder.
cd "$HERE/../.."
STANDIN="$PWD/target/review/standin"
NODE="$PWD/target/daemons/quay-edge"
[ -x "$STANDIN" ] && [ -x "$NODE" ] || { echo "build first: deploy/system.toml, review/build.sh" >&2; exit 2; }
TROUBLE=${TROUBLE:-1}
RECORD="$HERE/record.txt"
: > "$RECORD"
WORK=$(mktemp -d)
NET="127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250))" # all processes use this range of loopback addresses
PORT=$((20000 + $$ % 10000))
PLATFORM="$NET.200:$PORT"
declare -A PIDS=()

finish() {
    local code=$?
    for name in "${!PIDS[@]}"; do kill -9 "${PIDS[$name]}" 2> /dev/null || true; done
    cat "$WORK"/executor-*.log >> "$RECORD" 2> /dev/null || true
    LC_ALL=C sort -n -s -o "$RECORD" "$RECORD"
    rm -rf "$WORK"
    exit "$code"
}
trap finish EXIT
trap 'exit 2' INT TERM

now() { "$STANDIN" now; }
note() { echo "$(now) script $*" | tee -a "$RECORD"; }
# call METHOD ADDRESS PATH [BODY]: prints status and body, and records both.
call() {
    local result
    result=$("$STANDIN" call "$1" "$2" "$3" shop.example key-1 "${4:-}")
    echo "$(now) caller $1 $3 at $2 -> $result" >> "$RECORD"
    echo "$result"
}
control() { "$STANDIN" call POST "$PLATFORM" "/control/$1" store "" "${2:-}" > /dev/null; }

startPlatform() {
    "$STANDIN" platform "$PLATFORM" 2>> "$WORK/platform.log" &
    PIDS[platform]=$!
    disown
    for _ in $(seq 50); do
        [[ $("$STANDIN" call POST "$PLATFORM" "/control/busy?on=0" store "") == 200* ]] && return
        sleep 0.1
    done
    echo "the platform's stand-in does not answer" >&2
    exit 2
}

front() { echo "$NET.$1:$PORT"; }
# startNode NUMBER
startNode() {
    local ip="$NET.$1"
    cat > "$WORK/node-$1.json" << END
{"node":"edge-z$1","role":"node","machineClass":"edge","serves":["edge"],"ip":"$ip","zone":"zone-$1","region":"r",
 "zones":{"zone-1":"r","zone-2":"r","zone-3":"r"},
 "listen":{"front":"$ip:$PORT","readiness":"$ip:$((PORT + 1))"},"portRange":[$((PORT + 2)),$((PORT + 17))],
 "seeds":[],"bootstrap":true,"limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0},
 "heartbeatMs":1500,"controlMode":"call","advice":"$PLATFORM",
 "bounds":{"stableMs":3000,"drainMs":2000,"graceS":6,"configApplyMs":2000,"maxHoldMs":6000,"stopMs":900,
  "gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"leaseMs":3000},
 "platform":{"address":"$PLATFORM","form":"table","writesPerS":600,"readsPerS":2000,"txMs":8.0,
  "partitionWritesS":150,"rowBytes":65536,"across":false,"historyS":20}}
END
    BUCKTHORNQUAY_NODE_FILE="$WORK/node-$1.json" "$NODE" >> "$WORK/node-$1.log" 2>&1 &
    PIDS[node-$1]=$!
    disown
}
# startExecutor NUMBER LABEL CPU [ADDRESS]: all are of service "shop". ADDRESS is the one that it registers.
startExecutor() {
    "$STANDIN" executor "$NET.$((100 + $1)):$PORT" "$PLATFORM" "i-$1" "zone-$((1 + $1 % 3))" shop "$2" \
        "r$((1 + $1 % 2))" "$3" "$WORK/executor-$1.log" "${4:-$NET.$((100 + $1)):$PORT}" 2>> "$WORK/platform.log" &
    PIDS[executor-$1]=$!
    disown
}
# startProxy NUMBER: in front of the executor of this number.
startProxy() {
    "$STANDIN" proxy "$NET.$((150 + $1)):$PORT" "$NET.$((100 + $1)):$PORT" 2>> "$WORK/platform.log" &
    PIDS[proxy-$1]=$!
    disown
}
# Prints the number of the node that leads, from its metrics.
leader() {
    local node
    for node in "$@"; do
        if "$STANDIN" call GET "$NET.$node:9464" /metrics metrics "" | grep -q '^quay_leads 1'; then
            echo "$node"
            return
        fi
    done
}
# awaitService NODES...: until jobs are run, at most 30 s.
awaitService() {
    local id i
    for i in $(seq 60); do
        id=$(printf '%016x' $((0xaaaa0000 + i)))
        if [[ $(call POST "$(front "$1")" "/warm/$id" \
            '{"spec":"100","steps":[{"count":1,"cpu":500,"memMb":10,"estimateMs":100}]}') == 200* ]]; then
            for _ in $(seq 20); do
                sleep 0.25
                [[ $(call GET "$(front "$1")" "/warm/$id") == *completed* ]] && return
            done
        fi
        sleep 0.5
    done
    echo "the system does not serve" >&2
    exit 2
}
# began TASK-PREFIX: the number of runs that executors have begun on tasks of this name so far.
began() { cat "$WORK"/executor-*.log | grep -c " began $1" || true; }
