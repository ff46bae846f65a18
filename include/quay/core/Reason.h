#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace quay {

/** Whether the work of a failed request may have run. */
enum class Disposition {
    NotRun, // it did not run; safe to retry
    Unknown, // it may have run; query its status before a retry
};

/** Kinds of failure of a request. The numbers are part of the peer protocol and never change. */
enum class ErrorKind : unsigned {
    None = 0,
    MalformedRequest = 1,
    UnknownField = 2,
    TooLarge = 3,
    MissingKey = 4,
    InvalidKey = 5,
    WrongTeam = 6,
    UnknownQueue = 7,
    UnknownJob = 8,
    RequestIdReused = 9,
    DeadlineExceeded = 10,
    QueueFull = 11,
    QuotaExhausted = 12,
    NoCapacity = 13,
    NeverRunnable = 14,
    StoreUnavailable = 15,
    StaleConfiguration = 16,
    OwnerUnreachable = 17,
    BackendFailed = 18,
    OutcomeUnknown = 19,
    RetryBudgetExhausted = 20,
    ShuttingDown = 21,
    VersionConflict = 22,
    InvalidConfiguration = 23,
    NotFound = 24,
    MissingRequestId = 25,
    NotOperator = 26,
    Overloaded = 27,
    SubmissionUnknown = 28,
    CursorTooOld = 29,
    JobCancelled = 30,
};

/** One row of the error table. */
struct ErrorEntry {
    ErrorKind kind;
    std::string_view name; // stable name in JSON responses
    unsigned httpStatus;
    Disposition disposition;
    std::string_view message;
    std::string_view remedy;
};

/** The table row of a kind. Unknown numbers (sent by a newer peer) map to OutcomeUnknown. */
const ErrorEntry& describe(ErrorKind kind);

/** The text form of a disposition: "not run" or "unknown". */
std::string_view text(Disposition disposition);

/**
 * The error of a function that returned nullopt. Functions that can fail return std::optional
 * and set the Reason passed to them.
 *
 * Usage: `Reason reason; auto value = parse(text, reason); if (!value) report(reason);`
 */
struct Reason {
    ErrorKind kind = ErrorKind::None;
    std::string detail; // specifics, for example the name of the field

    auto operator<=>(const Reason&) const = default;

    /** Message, detail and remedy as one line for people. */
    std::string explain() const;
};

/** Sets the reason and returns nullopt, for use in a return statement. */
std::nullopt_t fail(Reason& reason, ErrorKind kind, std::string detail = {});

} // namespace quay
