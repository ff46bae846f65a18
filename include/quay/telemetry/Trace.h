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

/** The part of a trace that travels with a request: the W3C `traceparent` header. */
struct TraceContext {
    std::string traceId; // 32 hex digits
    std::string spanId; // 16 hex digits, of the caller's span

    auto operator<=>(const TraceContext&) const = default;
};

/** Reads a traceparent header; nullopt if it is not valid. */
std::optional<TraceContext> parseTraceparent(const std::string& header);

/** The header for the next hop. */
std::string traceparent(const TraceContext& context);

/** One hop of one request. */
struct Span {
    TraceContext context; // of this span
    std::string parentId; // empty: the first span that we know of
    std::string name; // the hop: entry, queue, slot, peer, store, worker
    std::string process; // member id
    std::int64_t startUs = 0; // wall-clock
    std::int64_t durationUs = 0;
    bool failed = false;
    std::string detail; // error kind, executor, worker

    bool operator==(const Span&) const = default;
};

/** The span as one JSON line with the field's standard names. */
std::string toJson(const Span& span);

/**
 * The latest spans of one process, bounded in number. When full, it forgets the oldest ordinary spans first;
 * failed ones and the slowest have a part of their own.
 *
 * Usage: `auto span = traces.begin("entry", parent); ... traces.end(span, failed, detail);`
 */
class TraceRing {
public:
    TraceRing(
        std::string process, std::size_t ordinaryCapacity, std::size_t notableCapacity, std::uint64_t seed);

    /** Begins a span under a parent, or a new trace without one. */
    Span begin(const std::string& name, const std::optional<TraceContext>& parent);

    /** Ends the span now and keeps it. */
    void end(Span span, bool failed, const std::string& detail = {});

    /** The spans of a trace that are still held, in order of their start. */
    std::vector<Span> find(const std::string& traceId) const;

    /** All spans held, as JSON lines. */
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
