#include "edge/EventCatalogue.h"

#include <algorithm>
#include <array>

namespace quay::edge {

namespace {

constexpr std::array catalogue {
    CataloguedEvent { 2001, "node_started", "the node listens; zone, addresses", "nothing to do" },
    CataloguedEvent { 2002, "node_draining",
        "SIGTERM came: not ready from now on, the leadership is given up", "wait for node_stopped" },
    CataloguedEvent { 2003, "node_stopped", "the process ends; requests still in flight",
        "raise the grace time if in_flight is not 0" },
    CataloguedEvent { 2004, "node_ready", "the balancer is told to send callers here", "nothing to do" },
    CataloguedEvent {
        2005, "node_not_ready", "no configuration, no store, or draining", "see store_lost near it" },
    CataloguedEvent { 2006, "settings_reload", "SIGHUP came; addresses and bounds hold until the next start",
        "restart the node for new settings" },
    CataloguedEvent { 2007, "lines_omitted",
        "lines of one event beyond its rate, or that found the queue full, were left out",
        "raise the reader's speed if it repeats" },
    CataloguedEvent { 2101, "job_accepted", "a job is durable and acknowledged", "nothing to do" },
    CataloguedEvent { 2102, "request_refused",
        "a request was answered without success; the reason says by what, and whether it may have run",
        "follow the reason" },
    CataloguedEvent { 2103, "queue_unknown",
        "no queue has the request's host and prefix in this configuration version", "check the route" },
    CataloguedEvent {
        2104, "key_unknown", "the key is in no team of this configuration version", "check the team's keys" },
    CataloguedEvent { 2105, "job_unknown", "no such job is durable", "check the id" },
    CataloguedEvent { 2106, "state_shown", "a job's state was asked for", "nothing to do" },
    CataloguedEvent {
        2107, "cancel_accepted", "a cancellation is durable and acknowledged", "nothing to do" },
    CataloguedEvent {
        2108, "pending_shown", "the count of a queue's waiting jobs was asked for", "nothing to do" },
    CataloguedEvent {
        2201, "store_lost", "two exchanges in a row with the store failed", "see OPERATIONS.md, store" },
    CataloguedEvent {
        2202, "store_regained", "the store answers again; how long it did not", "nothing to do" },
    CataloguedEvent { 2203, "store_gate_closed",
        "callers' requests that need the store are refused at once as not run", "see store_lost" },
    CataloguedEvent { 2204, "store_gate_open", "the store takes callers' requests again", "nothing to do" },
    CataloguedEvent { 2205, "read_failed", "a table could not be read; it is tried again", "see store_lost" },
    CataloguedEvent { 2206, "commit_unanswered",
        "a commit got no answer or a refusal; it is sent again under the same condition", "see store_lost" },
    CataloguedEvent { 2301, "configuration_in_force", "the node follows another version", "nothing to do" },
    CataloguedEvent { 2302, "configuration_unreadable",
        "the operator's row can't be decoded; the version before stays", "correct the configuration" },
    CataloguedEvent { 2401, "leader_found", "the leader answers greetings", "nothing to do" },
    CataloguedEvent { 2402, "leader_missed",
        "the leader gave no usable answer; the leadership row is examined",
        "look for the leader's node in the logs" },
    CataloguedEvent { 2403, "leadership_taken", "this node schedules the cell; its fence", "nothing to do" },
    CataloguedEvent { 2404, "leadership_lost",
        "another node has the leadership; nothing is ordered here any more",
        "normal after a pause or a cut" },
    CataloguedEvent { 2405, "leadership_given_up", "anybody may lead", "nothing to do" },
    CataloguedEvent { 2406, "scheduler_loaded", "all that is durable was read; counts", "nothing to do" },
    CataloguedEvent { 2501, "job_known", "the scheduler has the job", "nothing to do" },
    CataloguedEvent { 2502, "job_completed", "all tasks are done", "nothing to do" },
    CataloguedEvent {
        2503, "job_failed", "a task has used up its attempts", "see the run_ended lines of the job" },
    CataloguedEvent { 2504, "job_cancelled", "a cancellation reached the scheduler", "nothing to do" },
    CataloguedEvent { 2505, "occurrence_due", "an occurrence of a scheduled job may start", "nothing to do" },
    CataloguedEvent {
        2506, "job_unreadable", "a job's row can't be decoded; it is left alone", "look at the row" },
    CataloguedEvent { 2507, "record_unreadable", "a record can't be decoded; the job starts from its request",
        "look at the row" },
    CataloguedEvent {
        2508, "record_ignored", "a record names a task that its job does not have", "look at the row" },
    CataloguedEvent { 2601, "approval_answered", "the approval service answered: asked, approved, time",
        "status 0 or 429: its caller was lost or overloaded" },
    CataloguedEvent { 2602, "start_sent", "a start was ordered; its record is durable", "nothing to do" },
    CataloguedEvent { 2603, "start_refused",
        "an executor refused a start or did not answer; unanswered counts starts in doubt",
        "the result names the cause" },
    CataloguedEvent { 2604, "stop_sent", "a stop was ordered", "nothing to do" },
    CataloguedEvent { 2605, "run_ended", "an executor listed the end of a run", "nothing to do" },
    CataloguedEvent { 2606, "run_absent",
        "an executor neither runs a task nor lists its end; it is started again", "nothing to do" },
    CataloguedEvent { 2607, "runs_lost", "what ran on an executor has surely ended; it is started again",
        "see executor_silent" },
    CataloguedEvent { 2608, "stray_run",
        "an executor runs what the scheduler did not order there; it is stopped",
        "look for another scheduler in the logs" },
    CataloguedEvent { 2701, "executor_seen", "an executor has registered", "nothing to do" },
    CataloguedEvent { 2702, "executor_leaving", "an executor drains: no new starts", "nothing to do" },
    CataloguedEvent { 2710, "executor_evacuated",
        "tasks of a leaving executor are stopped to go on elsewhere", "nothing to do" },
    CataloguedEvent { 2703, "executor_unlisted",
        "a registration was removed; its runs count until their leases have lapsed", "see runs_lost" },
    CataloguedEvent {
        2704, "executor_reborn", "an executor has started again under its id", "nothing to do" },
    CataloguedEvent { 2705, "executor_silent",
        "an executor did not answer a look: no new starts, its lease is not prolonged",
        "check the link and the VM" },
    CataloguedEvent { 2706, "executor_back", "it answers again", "nothing to do" },
    CataloguedEvent {
        2707, "executor_avoided", "failures in a row: it gets no starts for a while", "check the VM" },
    CataloguedEvent {
        2708, "executor_closed", "it is gone and nothing can run there any more", "nothing to do" },
    CataloguedEvent {
        2709, "executor_unreadable", "a registration that names no usable executor", "look at the row" },
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
