#pragma once

#include "edge/JobApi.h"

#include <string>

// For the sources of JobApi only.
namespace quay::edge {

constexpr auto writeRetryDelay = 40ms; // before doubling; the time of a few transactions
constexpr auto stateTimeout = 500ms; // of a question to the leader
constexpr unsigned statusOk = 200;
constexpr unsigned statusGone = 410;

/** A caller's request until its response. */
struct JobApi::Call {
    HttpRequest request;
    Respond respond;
    Instant arrivedAt;
    Instant deadline;
    std::string id; // of the job; empty if the request is about the queue
    fleet::QueuePolicy queue;
    std::string team;
    StoredJob job;
    bool mayBeWritten = false; // the outcome of an attempt is unknown
    int writeAttempts = 0; // of this node, so far
    bool isLeaderOutcomeKnown = false; // the leader has answered or was lost; later answers are ignored
};

} // namespace quay::edge
