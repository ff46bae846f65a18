#pragma once

#include "quay/core/Resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quay::fleet {

/**
 * One executor as it registered itself. After a restart the executor keeps its id; the new incarnation has a
 * later `startedUnixMs`.
 */
struct ExecutorEntry {
    std::string id;
    std::int64_t startedUnixMs = 0; // start of its process; 0: unknown
    std::string service;
    std::string address;
    std::string zone;
    bool isDraining = false;
    std::int64_t remainingMs = 0; // minimum time until a draining executor exits
    Resources capacity;
    std::vector<std::string> labels;
    std::int64_t coldRemainingMs = 0; // how much longer the executor is slow after its start

    bool operator==(const ExecutorEntry&) const = default;
};

/** Identifies one task within the fleet. */
struct TaskRef {
    std::string job;
    int occurrence = 0; // 0 unless the job is scheduled
    int step = 0;
    int index = 0; // within the step

    auto operator<=>(const TaskRef&) const = default;
};

/** Formats a task as "job.occurrence.step.index". */
std::string text(const TaskRef& task);
/** Formats the step of a task as "job.occurrence.step". */
std::string stepText(const TaskRef& task);
/** Parses the output of text(const TaskRef&); nothing if it is malformed. */
std::optional<TaskRef> parseTaskRef(std::string_view text);

/** How a run ended, as the executor reports it. */
enum class RunOutcome {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken, // another member of the gang ended
    GangIncomplete, // the other members of the gang did not start in time
};

/** A run that an executor reports as running. */
struct RunningTask {
    TaskRef task;
    int run = 0;
    std::string checkpoint; // newest checkpoint; empty: none
    int percent = 0; // progress, or the CPU share at which the task runs
    std::int64_t recentLoad = 0; // tail latency in ms if the task serves requests, otherwise its CPU use

    bool operator==(const RunningTask&) const = default;
};

/** A run that has ended and whose end the scheduler has not acknowledged yet. */
struct EndedTask {
    std::int64_t number = 0; // sequence number, counted from the start of the executor's process
    TaskRef task;
    int run = 0;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;

    bool operator==(const EndedTask&) const = default;
};

/** The state of an executor at one moment: its running tasks and its unacknowledged ends. */
struct ExecutorReport {
    std::int64_t clockMs = 0; // reading of the executor's own monotonic clock
    std::int64_t startedUnixMs = 0; // start of its process; 0: not reported
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;

    bool operator==(const ExecutorReport&) const = default;
};

/** Result of an order (start, stop, throttle or heartbeat) that was sent to an executor. */
enum class OrderResult {
    Ok,
    Fenced, // the executor has accepted an order with a higher fencing token
    Outdated, // this or a later run of the task has already been on the executor
    DeadlinePassed, // the order arrived after its deadline
    NoRoom, // the executor refused a start for lack of capacity
    NoTicket, // the executor refused a start without a valid ticket
    Malformed, // the executor refused the order as invalid or for an unknown reason
    Unhealthy, // the executor reports that it did not carry out the order
    OtherIncarnation, // another process listens at the address
    NoAnswer, // the outcome is unknown: the order may have been or may yet be carried out
    Unreachable, // nothing was sent, so the order can't have been carried out
};

std::string_view text(OrderResult result);

/** The answer to a start, with which the scheduler tells two processes of one executor apart. */
struct StartAnswer {
    StartAnswer(OrderResult theResult, std::int64_t theClockMs = 0)
        : result(theResult)
        , clockMs(theClockMs)
    {
    }

    OrderResult result;
    std::int64_t clockMs; // the executor's clock when it answered; 0: unknown
};

/** An executor on which the approval service allows a step, with the ticket that a start must carry. */
struct Approval {
    std::string executor;
    std::string ticket;

    bool operator==(const Approval&) const = default;
};

} // namespace quay::fleet
