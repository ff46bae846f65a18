#pragma once

#include "ExecutorClient.h"

#include <optional>
#include <string>
#include <vector>

// The messages between the leader and its relay nodes.
namespace quay::edge {

enum class RelayCallKind {
    Start,
    Stop,
    Throttle,
    Heartbeat,
};

/** One call of platform::ExecutorClient, with all its arguments. Which fields are used depends on `kind`. */
struct RelayCall {
    std::uint64_t number = 0; // of the sender; identifies the result
    RelayCallKind kind = RelayCallKind::Heartbeat;
    platform::OrderTarget target;
    Duration timeout {};
    platform::StartOrder order; // a stop or throttle uses its task and run, a heartbeat its lease
    int percent = 0;
    std::int64_t acknowledgedEnd = 0;
    Duration wait {};
    std::string domain; // failure domain of the executor, of a start only; empty: not known
};

struct RelayRequest {
    std::int64_t session = 0; // term of the leader
    Duration wait {}; // without calls: how long the relay may wait for a result before it answers
    std::vector<RelayCall> calls;
};

struct RelayResult {
    std::uint64_t number = 0;
    platform::HeartbeatResponse response; // `report` is absent for other kinds of calls
    // The start was not sent, because the relay can't tell which failure domains the operator has emptied.
    bool isRelayBlind = false;
};

std::string encode(const RelayRequest& request);
std::optional<RelayRequest> decodeRelayRequest(const std::string& bytes);
std::string encode(const std::vector<RelayResult>& results);
std::optional<std::vector<RelayResult>> decodeRelayResults(const std::string& bytes);

} // namespace quay::edge
