#pragma once

#include "quay/core/Reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quay::faults {

/** Which bytes of a route a fault is about. */
enum class Direction {
    Request, // from the caller to the target
    Response, // from the target to the caller
    Both,
};

/** What a command does to a route. */
enum class FaultKind {
    Delay, // every chunk waits delayMs plus a seeded part of jitterMs; order is kept
    Cut, // bytes are held back, connections stay open
    Release, // ends Cut; what was held is delivered
    Drop, // every connection, now and from now on, is reset
    LoseAnswers, // requests pass; the next `answers` answers, or `bytes` answer bytes, are swallowed
    Reset, // connections of now are reset, later ones are not
    Clear, // ends every fault
};

/** One fault, as written in a table or sent to the control address. */
struct FaultCommand {
    std::string route;
    FaultKind kind = FaultKind::Clear;
    Direction direction = Direction::Both;
    int delayMs = 0;
    int jitterMs = 0;
    std::uint64_t seed = 1; // of the jitter
    std::uint32_t answers = 0;
    std::uint64_t bytes = 0;
    int atMs = 0; // scripts only: time since the start of the process

    bool operator==(const FaultCommand&) const = default;
};

/** One listening address and where its connections go. */
struct RouteSpec {
    std::string name;
    std::string listen = "127.0.0.1:0";
    std::string target; // "ip:port"

    bool operator==(const RouteSpec&) const = default;
};

/** A whole table file. */
struct FaultScript {
    std::vector<RouteSpec> routes;
    std::vector<FaultCommand> faults; // in order of time

    bool operator==(const FaultScript&) const = default;
};

/** Reads a fault from JSON; UnknownField or MalformedRequest otherwise. */
std::optional<FaultCommand> parseFault(const std::string& json, Reason& reason);

/** Reads a route from JSON; UnknownField or MalformedRequest otherwise. */
std::optional<RouteSpec> parseRoute(const std::string& json, Reason& reason);

/** Reads a TOML table of [[routes]] and [[faults]], whose fields are those of the JSON forms. */
std::optional<FaultScript> parseScript(const std::string& toml, Reason& reason);

} // namespace quay::faults
