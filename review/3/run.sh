#!/usr/bin/env bash
# A job is accepted, and the store is busy (503) for 4.3 s while its approval is on the way. Afterwards it has to run:
# its approved executors are free. Exit 1: it has not begun 19 s later, though a new job has run on them.
set -euo pipefail
HERE="$(cd "$(dirname "$0")" && pwd)"
source "$HERE/../common.sh"

startPlatform
# The policy allows queue "sort" on two executors of six; "warm" needs no approval.
control policy '["i-1","i-2"]'
control config '{"version":1,"routes":[
 {"name":"warm","host":"shop.example","prefix":"/warm/","routeType":"non_idempotent","timeoutMs":3000,"sloMs":300,
  "priority":0,"service":"shop","attempts":3,"stretch":1.5,"public":false},
 {"name":"sort","host":"shop.example","prefix":"/sort/","routeType":"non_idempotent","timeoutMs":3000,"sloMs":1200,
  "priority":2,"service":"shop","attempts":2,"stretch":2.2,"public":false,
  "advice":{"decisionMs":400.0,"perItemMs":5.7,"validMs":2500}}],
 "services":[{"name":"shop","healthPath":"/healthz","maxConns":64,"enforcesCapacity":false,"standby":false}],
 "tenants":[{"name":"t1","apiKeys":["key-1"],"weight":1,"maxCount":{}}]}'
for i in 1 2 3 4 5 6; do startExecutor $i a 32000; done
for i in 1 2 3; do startNode $i; done
awaitService 1 2 3
note "served; leader is node $(leader 1 2 3)"

id=$(printf '%016x' 0xbb01)
body='{"spec":"500","steps":[{"count":2,"cpu":5500,"memMb":100,"estimateMs":500,"maxPerServer":1}]}'
[[ $(call POST "$(front 1)" "/sort/$id" "$body") == 200* ]] || { note "the job was not accepted"; exit 2; }
sleep 0.15
if [ "$TROUBLE" != 0 ]; then
    note "the store is busy"
    control 'busy?on=1'
    sleep 4.3
    control 'busy?on=0'
    note "the store serves again; leader is node $(leader 1 2 3)"
else
    sleep 4.3
fi
sleep 15
# The same policy lets a new job run, so the executors are usable.
new=$(printf '%016x' 0xbbff)
call POST "$(front 1)" "/sort/$new" "$body" > /dev/null
sleep 4
[ "$(began "$new.")" = 2 ] || { note "a new job does not run either: $(began "$new.")"; exit 2; }
state=$(call GET "$(front 2)" "/sort/$id")
note "job $id: tasks begun $(began "$id."), state $state; the new job: tasks begun $(began "$new.")"
if [ "$(began "$id.")" -ge 2 ]; then
    note "held"
    exit 0
fi
note "LOST: an accepted job has not run for 19 s, with room on its approved executors"
exit 1
