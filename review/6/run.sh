#!/usr/bin/env bash
# Two executors of kind b each run a lasting task of 20 cores, and short jobs beside it. One of them is lost for
# good. Its lasting task finds no room on the other one, and from then on no other job of kind b starts there,
# though 12 cores are free.
. "$(dirname "$0")/../common-2.sh"

cat > "$work/config.json" << JSON
{"version":1,"routes":[
{"name":"watch","host":"$host","prefix":"/watch/","service":"desk","priority":1,"attempts":2,"stretch":2.2,"sloMs":2500},
{"name":"lookup","host":"$host","prefix":"/lookup/","service":"desk","priority":0,"attempts":4,"stretch":1.5,"sloMs":300}],
"services":[{"name":"desk","healthPath":"/healthz","enforcesCapacity":false}],
"tenants":[{"name":"bureau","apiKeys":["key-bureau"],"weight":6,"maxCount":{"cpu":0,"memMb":0,"gpu":0}},
{"name":"clinic","apiKeys":["key-clinic"],"weight":6,"maxCount":{"cpu":20000,"memMb":0,"gpu":0}}]}
JSON

start_store
sleep 0.5
put_config "$work/config.json"
for i in 1 2 3 4 5 6; do start_executor i-$i $i 32000 a,r1; done
for i in 7 8; do start_executor i-$i $i 32000 b,r2; done
for i in 1 2 3; do start_node $i; done
await_nodes
sleep 2
lasting='{"spec":"lasts","steps":[{"count":1,"cpu":20000,"memMb":100,"longRunning":true,"requires":"b"}]}'
call POST /watch/c0000000000000a1 key-bureau "$lasting"
call POST /watch/c0000000000000a2 key-bureau "$lasting"
sleep 2
"$standin" load "$nodes" "$host" /lookup/ key-clinic "$record" dd 2 18 '{"spec":"run 500","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":500,"requires":"b"}]}' &
load_pid=$!
pids+=($load_pid)
sleep 4
if [ "${TROUBLE:-1}" != 0 ]; then
    note "i-8 is lost for good"
    crash i-8
fi
wait $load_pid
ended=$(now)
note "traffic ends"
sleep 18
note "judged"

awk -v to=$((ended + 17000)) '
$2 == "post" && $NF == 200 { accepted[$3] = $1 }
$2 == "executor" && $5 == "start" { split($6, w, /[=.]/); if (!(w[2] in begun)) begun[w[2]] = $1; if (w[2] ~ /^c0/) lasting[w[2]] = 1 }
END {
    for (id in accepted) if (id ~ /^dd/) { n++; if (!(id in begun) || begun[id] > to) lost++ }
    if (n == 0 || length(lasting) < 2) { print "cannot be judged: " n + 0 " jobs accepted, " length(lasting) " lasting tasks started"; exit 2 }
    print n " jobs of clinic accepted, " lost + 0 " without a run"
    exit lost > 0
}' "$record" | tee -a "$record"
exit "${PIPESTATUS[0]}"
