#pragma once

#include "quay/core/Reason.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quay::faults {

/** The direction of a route to which a fault applies. */
enum class Direction {
    Request, // bytes from the caller to the target
    Response, // bytes from the target to the caller
    Both,
};

/** Kinds of injected faults, and the commands that end them. */
enum class FaultKind {
    Delay, // every chunk is delayed by delayMs plus a pseudo-random part of jitterMs; order is kept
    Cut, // delivers nothing while connections stay open, as in a network partition
    Release, // ends Cut and delivers the bytes held back
    Drop, // resets open connections, and new ones until Clear
    // Delivers requests but discards the next `answers` responses, or response chunks until `bytes` bytes are
    // used up.
    LoseAnswers,
    Reset, // resets open connections only
    // Ends the faults of the direction; those of the response direction include LoseAnswers. Ends Drop in any
    // case.
    Clear,
};

/** One fault command, as written in a script or sent to the control address. */
struct FaultCommand {
    std::string route;
    FaultKind kind = FaultKind::Clear;
    Direction direction = Direction::Both;
    int delayMs = 0;
    int jitterMs = 0;
    std::uint64_t seed = 1; // of the pseudo-random jitter
    std::uint32_t answers = 0; // LoseAnswers: number of responses; ignored while bytes remain
    std::uint64_t bytes = 0; // LoseAnswers
    int atMs = 0; // scripts only: time since FaultProxy::run()

    bool operator==(const FaultCommand&) const = default;
};

/** A listening address and the target of its connections. */
struct RouteSpec {
    std::string name;
    std::string listen = "127.0.0.1:0";
    std::string target; // "ip:port"

    bool operator==(const RouteSpec&) const = default;
};

/** Content of a script file. */
struct FaultScript {
    std::vector<RouteSpec> routes;
    std::vector<FaultCommand> faults; // ordered by atMs

    bool operator==(const FaultScript&) const = default;
};

/** Parses a fault command from JSON; nullopt with UnknownField or MalformedRequest if it is not valid. */
std::optional<FaultCommand> parseFault(const std::string& json, Reason& reason);

/** Parses a route from JSON; nullopt with UnknownField or MalformedRequest if it is not valid. */
std::optional<RouteSpec> parseRoute(const std::string& json, Reason& reason);

/**
 * Parses a TOML script of [[routes]] and [[faults]], which have the fields of parseRoute() and parseFault().
 * Returns nullopt with UnknownField or MalformedRequest if it is not valid.
 */
std::optional<FaultScript> parseScript(const std::string& toml, Reason& reason);

} // namespace quay::faults
