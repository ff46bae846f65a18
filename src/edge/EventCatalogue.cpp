#include "edge/EventCatalogue.h"

#include <algorithm>
#include <array>

namespace quay::edge {

namespace {

constexpr std::array catalogue {
    CataloguedEvent {
        2001, "node_started", "the node has started to listen; zone and addresses", "nothing to do" },
    CataloguedEvent { 2002, "node_draining",
        "SIGTERM was received: the node reports not ready and relinquishes the leadership",
        "wait for node_stopped" },
    CataloguedEvent { 2003, "node_stopped", "the process ends; in_flight counts requests without an answer",
        "raise the grace time if in_flight is not 0" },
    CataloguedEvent {
        2004, "node_ready", "the node reports to the balancer that it takes requests", "nothing to do" },
    CataloguedEvent { 2005, "node_not_ready",
        "the node's configuration may be out of date (age_ms), it does not reach the store, or it is "
        "draining",
        "look for store_lost and configuration_read at about the same time" },
    CataloguedEvent { 2006, "settings_reload",
        "SIGHUP was received; the settings apply only from the next start",
        "restart the node to apply new settings" },
    CataloguedEvent { 2007, "lines_omitted",
        "lines were dropped: their event exceeded its rate limit, or the log buffer was full",
        "if it repeats, speed up the reader of the log" },
    CataloguedEvent { 2101, "job_accepted", "a job was made durable and acknowledged", "nothing to do" },
    CataloguedEvent { 2102, "request_refused",
        "a request was answered with an error; the reason names the cause and whether the request "
        "may have run",
        "follow the reason" },
    CataloguedEvent { 2103, "queue_unknown",
        "no queue of this configuration version matches the request's host and path prefix",
        "check the route" },
    CataloguedEvent { 2104, "key_unknown", "the key belongs to no team of this configuration version",
        "check the team's keys" },
    CataloguedEvent { 2105, "job_unknown", "there is no durable job with this id", "check the id" },
    CataloguedEvent { 2106, "state_shown", "a caller read a job's state", "nothing to do" },
    CataloguedEvent {
        2107, "cancel_accepted", "a cancellation was made durable and acknowledged", "nothing to do" },
    CataloguedEvent {
        2108, "pending_shown", "a caller read a queue's number of waiting jobs", "nothing to do" },
    CataloguedEvent { 2109, "cancel_unmatched",
        "a cancellation of a job that does not exist was made durable: a submission that was delayed is "
        "refused",
        "nothing to do; many of one team: ask it which ids it cancels" },
    CataloguedEvent {
        2201, "store_lost", "two consecutive calls to the store failed", "see OPERATIONS.md, store" },
    CataloguedEvent {
        2202, "store_regained", "the store answers again; duration of the outage", "nothing to do" },
    CataloguedEvent { 2203, "store_gate_closed",
        "the circuit breaker of the store has tripped: requests that need the store are refused "
        "immediately as not run",
        "see store_lost" },
    CataloguedEvent { 2204, "store_gate_open",
        "the circuit breaker of the store has reset: requests that need the store are sent again",
        "nothing to do" },
    CataloguedEvent {
        2205, "read_failed", "a table could not be read; the read is retried", "see store_lost" },
    CataloguedEvent { 2206, "commit_unanswered",
        "a commit timed out or was refused; it is retried under the same condition", "see store_lost" },
    CataloguedEvent { 2301, "configuration_in_force", "the node has switched to a new configuration version",
        "nothing to do" },
    CataloguedEvent { 2302, "configuration_unreadable",
        "the operator's configuration row can't be decoded; the previous version stays in force",
        "correct the configuration" },
    CataloguedEvent { 2303, "evacuation_read",
        "the node has read the operator's request to empty a failure domain, or that it was written again",
        "see OPERATIONS.md, emptying a failure domain" },
    CataloguedEvent { 2304, "evacuation_taken_back",
        "the operator's request to empty a failure domain is gone from the store", "nothing to do" },
    CataloguedEvent { 2305, "evacuation_unreadable",
        "a request to empty a failure domain is odd (reason); it holds if its key names a domain and it is "
        "in "
        "the partition without a name",
        "write the row again, or remove it" },
    CataloguedEvent { 2306, "configuration_read",
        "a read that brought a configuration or failed: its kind, outcome, time and bytes, the newest row "
        "version in it, and the version and age of what the node then held",
        "if reads fail or take long, compare their bytes with the node's link and processor share" },
    CataloguedEvent { 2307, "configuration_from_peer",
        "the store does not answer this node, and the leader sent it the configuration; versions before, "
        "after",
        "look for store_lost on the same node" },
    CataloguedEvent { 2401, "leader_found", "the leader answers probes", "nothing to do" },
    CataloguedEvent { 2402, "leader_missed",
        "a probe of the leader failed, or the leader can't commit; the leadership row is read next",
        "look for the leader's node in the logs" },
    CataloguedEvent { 2403, "leadership_taken",
        "this node has become the leader of the cell; its fencing token", "nothing to do" },
    CataloguedEvent { 2404, "leadership_lost",
        "another node has taken the leadership; this node sends no more orders",
        "expected after a pause of the process or a network partition" },
    CataloguedEvent { 2405, "leadership_given_up",
        "this node has relinquished the leadership; any node may take it", "nothing to do" },
    CataloguedEvent { 2409, "successor_asked",
        "the store refuses the leader's commits: it asks another node to replace it",
        "look for store_lost on the leader's node" },
    CataloguedEvent { 2411, "format_unknown",
        "the leader stores rows in a later format than this version knows; this node will not lead",
        "upgrade the node" },
    CataloguedEvent { 2410, "takeover_requested",
        "the leader asks this node to replace it; leadership_taken follows if the row is unchanged",
        "nothing to do" },
    CataloguedEvent { 2406, "scheduler_loaded",
        "the leader has restored all durable state; counts, and how long reading and restoring took",
        "nothing to do" },
    CataloguedEvent { 2407, "relay_abandoned",
        "the leader sends no more orders through this relay node for a while; calls without a result",
        "look for the relay's node in the logs" },
    CataloguedEvent { 2412, "relay_blind",
        "a relay node held a start back because it has not read the operator's requests for too long; the "
        "leader uses another way for a while",
        "look for store_lost on the relay's node" },
    CataloguedEvent { 2408, "leader_load",
        "once a second on the leader: open jobs, tasks and records that wait, commits and rounds since the "
        "last line",
        "see OPERATIONS.md, a leader at its limit" },
    CataloguedEvent { 2501, "job_known", "the scheduler has received the job", "nothing to do" },
    CataloguedEvent { 2502, "job_completed", "all tasks of a job have completed", "nothing to do" },
    CataloguedEvent {
        2503, "job_failed", "a task has used all its attempts", "see the run_ended lines of the job" },
    CataloguedEvent { 2504, "job_cancelled", "the scheduler has received a cancellation", "nothing to do" },
    CataloguedEvent { 2505, "occurrence_due", "an occurrence of a scheduled job is due", "nothing to do" },
    CataloguedEvent {
        2506, "job_unreadable", "a job's row can't be decoded; the job is skipped", "inspect the row" },
    CataloguedEvent { 2507, "record_unreadable",
        "a job's record can't be decoded; the job is not run, because its tasks may have run already",
        "end the nodes of an older version; otherwise inspect the row" },
    CataloguedEvent {
        2508, "record_ignored", "a record names a task that its job does not have", "inspect the row" },
    CataloguedEvent { 2509, "job_removal_delayed",
        "the rows of a job past its retention could not be deleted; the deletion is retried",
        "see store_lost" },
    CataloguedEvent { 2510, "cancellation_deleted",
        "the cancellation of a job that was never submitted was deleted after its retention",
        "nothing to do" },
    CataloguedEvent { 2511, "job_policy_unreadable",
        "the policy in a job's row can't be decoded; once the job's route is removed it waits until the "
        "route is back",
        "end the nodes of an older version; otherwise inspect the row" },
    CataloguedEvent { 2601, "approval_answered",
        "the approval service has answered: workers asked, workers approved, duration",
        "status 0: the node that made the call was lost; 429: it made too many calls" },
    CataloguedEvent {
        2602, "start_sent", "a start order was sent; the record of the run is durable", "nothing to do" },
    CataloguedEvent { 2603, "start_refused",
        "an executor refused a start or did not answer; unanswered counts starts with an unknown outcome",
        "see the result for the cause" },
    CataloguedEvent { 2604, "stop_sent", "a stop order was sent", "nothing to do" },
    CataloguedEvent { 2605, "run_ended", "an executor reported the end of a run", "nothing to do" },
    CataloguedEvent { 2606, "run_absent",
        "an executor reports a run neither as running nor as ended; its task is started again; proof is the "
        "answer that came before the report was requested, acknowledged the ends that it may discard",
        "nothing to do" },
    CataloguedEvent { 2607, "runs_lost",
        "the runs on an executor can no longer be active; their tasks are started again",
        "see executor_silent" },
    CataloguedEvent { 2608, "stray_run",
        "an executor reports a run that the scheduler has not ordered there; the run is stopped",
        "look for another scheduler in the logs" },
    CataloguedEvent { 2609, "end_unmatched",
        "an executor reports the end of a run that the scheduler does not have there: it was lost or given "
        "up",
        "look for runs_lost and run_absent of the task" },
    CataloguedEvent { 2610, "run_moved",
        "a restarted executor reports a run that was ordered from its process before: it carried out the "
        "start, "
        "and the run goes on",
        "nothing to do" },
    CataloguedEvent { 2611, "start_withdrawn",
        "a start is not sent because since the placement its ticket has expired, the executor's capacity has "
        "shrunk, a run that was given up is listed, or its failure domain is being emptied (why); the task "
        "waits again",
        "nothing to do" },
    CataloguedEvent { 2612, "order_superseded",
        "an executor refused an order because it has seen a later one of this leader; the order is sent "
        "again",
        "nothing to do" },
    CataloguedEvent { 2613, "step_held",
        "a step has waited a second or more although there is room for it, because that room is reserved for "
        "other steps, or waits behind others because its job is beyond its team's share (why); at most one "
        "line a second",
        "if waited_ms goes beyond three seconds, raise the limit or add executors" },
    CataloguedEvent { 2614, "starts_held",
        "no start is sent because the requests to empty failure domains were read too long ago (age_ms): a "
        "newer one could be past its bound; at most one line a second",
        "see store_lost and read_failed on the leader's node" },
    CataloguedEvent { 2615, "domain_evacuated",
        "an operator's request to empty a failure domain is heeded: nothing is started there any more; "
        "version "
        "of the request, executors and runs there",
        "wait until no runs are left, or take the request back" },
    CataloguedEvent { 2616, "domain_returned",
        "the request to empty a failure domain was taken back; its executors get few starts at first",
        "nothing to do" },
    CataloguedEvent { 2620, "start_held",
        "the last check before a start leaves the node held it back: its failure domain is emptied, or the "
        "operator's requests were read too long ago (why); the leader gets it back as unreachable",
        "requests_unknown: look for store_lost" },
    CataloguedEvent { 2630, "crash_blamed",
        "an executor with tasks has crashed; why: alone or several (its newest tasks are suspects), or the "
        "cause lies elsewhere: draining, not_gone, crashes_often, shared, others_crash, no_new_start",
        "see task_suspected" },
    CataloguedEvent { 2631, "task_suspected",
        "a task had just been started on an executor that crashed; it does not share executors with other "
        "suspects until it is cleared",
        "nothing to do" },
    CataloguedEvent { 2632, "task_cleared",
        "a suspect ran on, or ended, without a crash of its executor (why)", "nothing to do" },
    CataloguedEvent { 2633, "task_convicted",
        "a task has crashed as many executors as it has attempts, the last one as the only suspect; its job "
        "fails",
        "see what the task does at its start" },
    CataloguedEvent { 2640, "weight_unusable",
        "a team's weight is zero, negative, too large or no number; another one is used (used)",
        "correct the weight" },
    CataloguedEvent { 2650, "estimate_bounded",
        "a caller's estimate of a task's duration is beyond a day and counts as a day; one line a job",
        "tell the caller" },
    CataloguedEvent { 2701, "executor_seen", "an executor has registered", "nothing to do" },
    CataloguedEvent {
        2702, "executor_leaving", "an executor is draining: it gets no new starts", "nothing to do" },
    CataloguedEvent { 2710, "executor_evacuated",
        "tasks on a draining executor, or in a failure domain that is being emptied (domain), are stopped so "
        "that they continue on others",
        "nothing to do" },
    CataloguedEvent { 2711, "executor_record_differs",
        "a restored run was on another process of the executor than the registered one; start times of both",
        "nothing to do" },
    CataloguedEvent { 2703, "executor_unlisted",
        "an executor's registration was removed; its runs count as active until their leases expire",
        "see runs_lost" },
    CataloguedEvent { 2704, "executor_reborn",
        "an executor has restarted under the same id; start times of both processes", "nothing to do" },
    CataloguedEvent { 2705, "executor_silent",
        "an executor did not answer a poll: it gets no new starts and its lease is not renewed",
        "check the network and the VM" },
    CataloguedEvent { 2706, "executor_back", "an executor answers polls again", "nothing to do" },
    CataloguedEvent { 2707, "executor_avoided",
        "an executor gets no starts for a while after consecutive failures", "check the VM" },
    CataloguedEvent {
        2708, "executor_closed", "an executor is gone and none of its runs can be active", "nothing to do" },
    CataloguedEvent { 2712, "executor_slow",
        "tasks take at least twice as long on an executor as on others of its kind, which urgent steps then "
        "prefer; run_time_percent: relative to the service's normal",
        "check the VM if it lasts" },
    CataloguedEvent { 2713, "executor_speed_normal",
        "an executor is about as fast as others of its kind again", "nothing to do" },
    CataloguedEvent { 2709, "executor_unreadable", "a registration row does not describe a usable executor",
        "inspect the row" },
};

} // namespace

std::span<const CataloguedEvent> eventCatalogue() { return catalogue; }

std::string eventNumber(std::string_view name)
{
    const auto* it = std::find_if(catalogue.begin(), catalogue.end(),
        [name](const CataloguedEvent& event) { return event.name == name; });
    return it == catalogue.end() ? std::string() : "BQ-" + std::to_string(it->number);
}

std::string eventCataloguePage()
{
    std::string page
        = "# Log events of a node on the users' platform\n\nEvery line of quay-edge is one of these "
          "events, as one JSON object.\n\n| number | name | meaning | remedy |\n|---|---|---|---|\n";
    for (const auto& event : catalogue)
        page += "| BQ-" + std::to_string(event.number) + " | " + std::string(event.name) + " | "
            + std::string(event.meaning) + " | " + std::string(event.remedy) + " |\n";
    return page;
}

} // namespace quay::edge
