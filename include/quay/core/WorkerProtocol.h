#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quay {

/** One attempt of a task, as identified in every message to and from a worker. */
struct TaskAttempt {
    TaskId task;
    std::uint32_t attempt = 0;

    auto operator<=>(const TaskAttempt&) const = default;
};

/** An attempt that a worker is running. */
struct ReportedTask {
    TaskAttempt attempt;
    std::uint64_t epoch = 0; // of the leader that started it or last renewed its lease

    bool operator==(const ReportedTask&) const = default;
};

/** An ended attempt. The worker reports it until it is acknowledged. */
struct EndedTask {
    TaskAttempt attempt;
    bool ok = false;
    std::string result; // output or failure text

    bool operator==(const EndedTask&) const = default;
};

/** A worker's answer to a start. */
enum class StartOutcome {
    Accepted,
    Refused, // the attempt has not run and is certain not to run
    Unknown, // no answer; the attempt may run
};

} // namespace quay
