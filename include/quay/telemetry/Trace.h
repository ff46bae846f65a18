#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace quay {

/** The trace context that is propagated with a request in the W3C `traceparent` header. */
struct TraceContext {
    std::string traceId; // 32 hex digits
    std::string spanId; // 16 hex digits; in a received header the caller's span

    auto operator<=>(const TraceContext&) const = default;
};

/** Parses a version 00 traceparent header. Returns nullopt if it is not valid. */
std::optional<TraceContext> parseTraceparent(const std::string& header);

/** The traceparent header for requests made within this span. */
std::string traceparent(const TraceContext& context);

/** One operation of a request in one process. */
struct Span {
    TraceContext context; // of this span
    std::string parentId; // empty if the span started a new trace
    std::string name; // the kind of operation: entry, queue, slot, peer, store, worker
    std::string process; // member id
    std::int64_t startUs = 0; // wall-clock time since the Unix epoch
    std::int64_t durationUs = 0;
    bool failed = false;
    std::string detail; // error kind, executor, worker

    bool operator==(const Span&) const = default;
};

/** The span as one JSON object, with the field names of OpenTelemetry where it has them. */
std::string toJson(const Span& span);

/**
 * The most recent spans of one process, bounded in number. Failed spans and those of at least 500 ms are kept
 * in a ring of `notableCapacity` of their own, so that many ordinary spans don't evict them. A full ring
 * drops its oldest span. Callable from any thread.
 *
 * Usage: `auto span = traces.begin("entry", parent); ... traces.end(span, failed, detail);`
 */
class TraceRing {
public:
    TraceRing(
        std::string process, std::size_t ordinaryCapacity, std::size_t notableCapacity, std::uint64_t seed);

    /** Starts a span as a child of `parent`, or as the root of a new trace. */
    Span begin(const std::string& name, const std::optional<TraceContext>& parent);

    /** Ends the span now and records it. */
    void end(Span span, bool failed, const std::string& detail = {});

    /** The recorded spans of a trace, in order of their start time. */
    std::vector<Span> find(const std::string& traceId) const;

    /** All recorded spans, as JSON lines. */
    std::string exportLines() const;

private:
    bool isNotable(const Span& span) const;
    std::string randomHex(std::size_t digits);

    const std::string m_process;
    const std::size_t m_ordinaryCapacity;
    const std::size_t m_notableCapacity;
    mutable std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::deque<Span> m_ordinary;
    std::deque<Span> m_notable;
};

} // namespace quay
