#!/usr/bin/env bash
# The operator lowers the upper limit of a tenant. The tenant then has 4 of 10 cores at work in tasks that last.
# A job with one task of 5 cores fits under the limit and never starts.
. "$(dirname "$0")/../common-2.sh"

# config VERSION CPU: CPU is the tenant's maxCount
config() {
    cat > "$work/config.json" << JSON
{"version":$1,"routes":[
{"name":"watch","host":"$host","prefix":"/watch/","service":"desk","priority":1,"attempts":2,"stretch":2.2,"sloMs":2500},
{"name":"sorting","host":"$host","prefix":"/sorting/","service":"desk","priority":2,"attempts":2,"stretch":2.2,"sloMs":1200}],
"services":[{"name":"desk","healthPath":"/healthz","enforcesCapacity":false}],
"tenants":[{"name":"bureau","apiKeys":["key-bureau"],"weight":6,"maxCount":{"cpu":$2,"memMb":0,"gpu":0}}]}
JSON
    put_config "$work/config.json"
}

start_store
sleep 0.5
config 1 20000
for i in 1 2 3 4; do start_executor i-$i $i 32000 a,r1; done
for i in 1 2 3; do start_node $i; done
await_nodes
sleep 2
call POST /watch/c0000000000000aa key-bureau '{"spec":"lasts","steps":[{"count":4,"cpu":1000,"memMb":100,"longRunning":true}]}'
sleep 3
[ "${TROUBLE:-1}" = 0 ] || config 4 10000
sleep 4
call POST /sorting/c0000000000000bb key-bureau '{"spec":"run 4000","steps":[{"count":1,"cpu":5000,"memMb":100,"estimateMs":4000}]}'
ended=$(now)
note "traffic ends"
sleep 18
call GET /watch/c0000000000000aa key-bureau
call GET /sorting/c0000000000000bb key-bureau
note "judged"

# The accepted job has no run from finish_s (14 s) after the end of the traffic, for 3 s.
awk -v to=$((ended + 17000)) '
$2 == "POST" && $5 == 200 { accepted[substr($3, index($3, "c000"))] = 1 }
$2 == "executor" && $5 == "start" { split($6, w, /[=.]/); if (!(w[2] in begun)) begun[w[2]] = $1; if (w[2] ~ /aa$/) lasting++ }
$2 == "executor" && $5 == "end" { split($6, w, /[=.]/); if (w[2] ~ /aa$/) lasting-- }
END {
    id = "c0000000000000bb"
    lost = (id in accepted) && (!(id in begun) || begun[id] > to)
    if (!(id in accepted) || lasting != 4) { print "cannot be judged: accepted " (id in accepted) ", lasting tasks " lasting; exit 2 }
    print lasting " lasting tasks at work, 4 of 128 cores; job " id (lost ? " accepted and without a run" : " has run")
    exit lost
}' "$record" | tee -a "$record"
exit "${PIPESTATUS[0]}"
