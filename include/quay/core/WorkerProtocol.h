#pragma once

#include "quay/core/Ids.h"
#include "quay/core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace quay {

/** One attempt of one task, as named in every message to a worker. */
struct TaskAttempt {
    TaskId task;
    std::uint32_t attempt = 0;

    auto operator<=>(const TaskAttempt&) const = default;
};

/** An attempt that a worker runs now. */
struct ReportedTask {
    TaskAttempt attempt;
    std::uint64_t epoch = 0; // of the lead that started or last renewed it

    bool operator==(const ReportedTask&) const = default;
};

/** An attempt that ended; the worker keeps it until acknowledged. */
struct EndedTask {
    TaskAttempt attempt;
    bool ok = false;
    std::string result; // output or failure text

    bool operator==(const EndedTask&) const = default;
};

/** What a worker said of one start. */
enum class StartOutcome {
    Accepted,
    Refused, // proven: it did not run and won't
    Unknown, // no answer; it may run
};

} // namespace quay
