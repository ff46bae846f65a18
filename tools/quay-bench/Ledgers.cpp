#include "quay-bench/Ledgers.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

namespace quay::bench {

namespace json = boost::json;

namespace {

using Lines = std::vector<std::string>;

std::string stringField(const json::value& value, const char* name)
{
    return std::string(value.at(name).as_string());
}

std::map<std::string, std::uint64_t> readCounts(const json::value& value)
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto& field : value.as_object())
        counts[std::string(field.key())] = field.value().to_number<std::uint64_t>();
    return counts;
}

std::int64_t endUsOf(const TaskRun& run)
{
    return run.endUs ? run.endUs : std::numeric_limits<std::int64_t>::max();
}

std::string jobOf(const std::string& task) { return task.substr(0, task.rfind('/')); }

// Start or end of a run. runEventsOf() orders ends before starts of the same microsecond.
struct RunEvent {
    std::int64_t atUs = 0;
    bool isStart = false;
    const TaskRun* run = nullptr;
};

std::vector<RunEvent> runEventsOf(const std::vector<const TaskRun*>& runs)
{
    std::vector<RunEvent> events;
    for (const auto* run : runs) {
        events.push_back({ run->startUs, true, run });
        events.push_back({ endUsOf(*run), false, run });
    }
    std::sort(events.begin(), events.end(), [](const RunEvent& a, const RunEvent& b) {
        return a.atUs != b.atUs ? a.atUs < b.atUs : a.isStart < b.isStart;
    });
    return events;
}

template <typename KeyOf>
std::map<std::string, std::vector<const TaskRun*>> groupBy(const std::vector<TaskRun>& runs, KeyOf keyOf)
{
    std::map<std::string, std::vector<const TaskRun*>> groups;
    for (const auto& run : runs)
        groups[keyOf(run)].push_back(&run);
    return groups;
}

void checkCapacity(const Ledgers& ledgers, const Resources& capacity, Lines& found)
{
    for (const auto& [worker, count] : ledgers.capacityRefusals) {
        if (count)
            found.push_back(
                "worker " + worker + " was sent " + std::to_string(count) + " starts that it can't hold");
    }
    for (const auto& [worker, runs] : groupBy(ledgers.runs, [](const TaskRun& r) { return r.worker; })) {
        Resources used;
        for (const auto& event : runEventsOf(runs)) {
            event.isStart ? used += event.run->size : used -= event.run->size;
            if (event.isStart && !used.fitsIn(capacity)) {
                found.push_back("worker " + worker + " held more than its capacity");
                break;
            }
        }
    }
}

void checkNoConcurrentRuns(const Ledgers& ledgers, Lines& found)
{
    for (const auto& [task, runs] : groupBy(ledgers.runs, [](const TaskRun& r) { return r.task; })) {
        std::size_t running = 0;
        for (const auto& event : runEventsOf(runs)) {
            event.isStart ? ++running : --running;
            if (running > 1) {
                found.push_back("task " + task + " ran in two places at once");
                break;
            }
        }
    }
}

// A task that is not idempotent may run again only after a run that certainly had no effect.
bool mayHaveTakenEffect(const TaskRun& run)
{
    return run.endReason != "failed" && run.endReason != "stopped";
}

void checkNonIdempotentTasks(const Ledgers& ledgers, const CallerRecord& callers, Lines& found)
{
    for (const auto& [task, runs] : groupBy(ledgers.runs, [](const TaskRun& r) { return r.task; })) {
        if (!callers.nonIdempotentJobs.count(jobOf(task)) || runs.size() < 2)
            continue;
        auto ordered = runs;
        std::sort(ordered.begin(), ordered.end(),
            [](const TaskRun* a, const TaskRun* b) { return a->startUs < b->startUs; });
        ordered.pop_back();
        if (std::any_of(
                ordered.begin(), ordered.end(), [](const TaskRun* r) { return mayHaveTakenEffect(*r); }))
            found.push_back(
                "non-idempotent task " + task + " ran again after an attempt that may have taken effect");
    }
}

void checkTeamLimits(const Ledgers& ledgers, const CallerRecord& callers, Lines& found)
{
    const auto limitOf = [&](const std::string& team) {
        const auto it = callers.upperLimits.find(team);
        return it == callers.upperLimits.end() ? 0 : it->second;
    };
    for (const auto& [team, runs] : groupBy(ledgers.runs, [](const TaskRun& r) { return r.team; })) {
        std::uint64_t running = 0;
        std::uint64_t most = 0;
        for (const auto& event : runEventsOf(runs)) {
            event.isStart ? ++running : --running;
            most = std::max(most, running);
        }
        if (most > limitOf(team))
            found.push_back("team " + team + " had " + std::to_string(most) + " tasks running, its limit is "
                + std::to_string(limitOf(team)));
    }
    for (const auto& executor : ledgers.executors) {
        for (const auto& [team, busy] : executor.maxBusyByTeam) {
            if (busy > limitOf(team))
                found.push_back("team " + team + " exceeded its limit at executor " + executor.id);
        }
    }
}

void checkRequests(const Ledgers& ledgers, const CallerRecord& callers, Lines& found)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& executor : ledgers.executors) {
        if (executor.slotViolations)
            found.push_back("executor " + executor.id + " was sent " + std::to_string(executor.slotViolations)
                + " requests beyond its slots");
        for (const auto& [request, count] : executor.runsByRequest)
            runs[request] += count;
    }
    for (const auto& [request, count] : runs) {
        if (count > 1 && callers.nonIdempotentRequests.count(request))
            found.push_back("non-idempotent request " + request + " ran " + std::to_string(count) + " times");
        const auto refused = callers.refusedRequests.find(request);
        if (refused != callers.refusedRequests.end())
            found.push_back(
                "request " + request + " was refused with 'not run' (" + refused->second + ") and ran");
    }
    for (const auto& answer : callers.mismatchedAnswers)
        found.push_back("wrong answer: " + answer);
}

} // namespace

bool addWorkerLedger(Ledgers& ledgers, const std::string& text, Reason& reason)
{
    try {
        const auto value = json::parse(text);
        const auto worker = stringField(value, "id");
        ledgers.capacityRefusals[worker] = value.at("capacity_violations").to_number<std::uint64_t>();
        for (const auto& entry : value.at("entries").as_array()) {
            TaskRun run;
            run.worker = worker;
            run.task = stringField(entry, "task");
            run.attempt = entry.at("attempt").to_number<std::uint32_t>();
            run.team = stringField(entry, "team");
            run.size = { entry.at("cpu_milli").to_number<std::int64_t>(),
                entry.at("memory_mb").to_number<std::int64_t>(),
                entry.at("accelerators").to_number<std::int64_t>() };
            run.startUs = entry.at("start_us").to_number<std::int64_t>();
            run.endUs = entry.at("end_us").to_number<std::int64_t>();
            run.endReason = stringField(entry, "why");
            ledgers.runs.push_back(std::move(run));
        }
        return true;
    } catch (const std::exception& error) {
        reason = Reason { ErrorKind::MalformedRequest, error.what() };
        return false;
    }
}

bool addExecutorLedger(Ledgers& ledgers, const std::string& text, Reason& reason)
{
    try {
        const auto value = json::parse(text);
        ExecutorCounts counts;
        counts.id = stringField(value, "id");
        counts.served = value.at("served").to_number<std::uint64_t>();
        counts.slotViolations = value.at("slot_violations").to_number<std::uint64_t>();
        counts.runsByRequest = readCounts(value.at("runs_by_request"));
        counts.maxBusyByTeam = readCounts(value.at("max_busy_by_team"));
        ledgers.executors.push_back(std::move(counts));
        return true;
    } catch (const std::exception& error) {
        reason = Reason { ErrorKind::MalformedRequest, error.what() };
        return false;
    }
}

std::vector<std::string> findViolations(
    const Ledgers& ledgers, const CallerRecord& callers, const Resources& worker)
{
    Lines found;
    checkCapacity(ledgers, worker, found);
    checkNoConcurrentRuns(ledgers, found);
    checkNonIdempotentTasks(ledgers, callers, found);
    checkTeamLimits(ledgers, callers, found);
    checkRequests(ledgers, callers, found);
    return found;
}

} // namespace quay::bench
