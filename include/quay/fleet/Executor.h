#pragma once

#include "quay/core/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quay::fleet {

/** One executor as it registered itself. A restart under the same id is told apart by `startedUnixMs`. */
struct ExecutorEntry {
    std::string id;
    std::int64_t startedUnixMs = 0;
    std::string service;
    std::string address;
    std::string zone;
    bool isDraining = false;
    std::int64_t remainingMs = 0; // of a draining one: the least time that is left
    Resources capacity;
    std::vector<std::string> labels;

    bool operator==(const ExecutorEntry&) const = default;
};

/** Names one task everywhere: job, occurrence, step, index. */
struct TaskRef {
    std::string job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    auto operator<=>(const TaskRef&) const = default;
};

/** "job.occurrence.step.index" */
std::string text(const TaskRef& task);
/** "job.occurrence.step" */
std::string stepText(const TaskRef& task);
std::optional<TaskRef> parseTaskRef(std::string_view text);

/** How a run ended. */
enum class RunOutcome {
    Done,
    Failed,
    Stopped,
    LeaseLapsed,
    GangBroken, // another member ended
    GangIncomplete, // the other members did not come in time
};

/** A run that an executor has in hand. */
struct RunningTask {
    TaskRef task;
    int run = 0;
    std::string checkpoint; // newest saved state; empty: none
    int percent = 0; // progress, or share at work
    std::int64_t recentLoad = 0; // tail in ms of a serving task, else cpu in use

    bool operator==(const RunningTask&) const = default;
};

/** A run that has ended and whose end was not yet acknowledged. */
struct EndedTask {
    std::int64_t number = 0; // rises by one with each end of this lifetime
    TaskRef task;
    int run = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;

    bool operator==(const EndedTask&) const = default;
};

/** All that an executor has in hand at one moment. */
struct ExecutorReport {
    std::int64_t clockMs = 0; // the executor's own steady clock
    std::int64_t startedUnixMs = 0; // 0: not told
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;

    bool operator==(const ExecutorReport&) const = default;
};

/** What became of an order to an executor. */
enum class OrderResult {
    Ok,
    Fenced, // a successor has ordered there
    Outdated, // that run number was already used there
    DeadlinePassed, // its deadline had passed
    NoRoom,
    NoTicket,
    Malformed,
    Unhealthy, // it did nothing and says so
    OtherIncarnation, // another process lives at the address
    NoAnswer, // it may have been carried out, or may be later
    Unreachable, // no byte was sent
};

std::string_view text(OrderResult result);

/** One approved worker of a step. */
struct Approval {
    std::string executor;
    std::string ticket;

    bool operator==(const Approval&) const = default;
};

} // namespace quay::fleet
