#include "quay/telemetry/Trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>

namespace quay {

namespace json = boost::json;

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
constexpr std::size_t traceparentLength = 55; // "00-", trace id, "-", span id, "-", two hex digits of flags
constexpr std::int64_t slowSpanThresholdUs = 500'000;
constexpr std::int64_t nanosecondsPerMicrosecond = 1000;

std::int64_t wallClockUs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

bool isHex(const std::string& digits)
{
    const auto valid = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return std::all_of(digits.begin(), digits.end(), valid);
}

bool isAllZero(const std::string& digits) { return digits.find_first_not_of('0') == std::string::npos; }

} // namespace

std::optional<TraceContext> parseTraceparent(const std::string& header)
{
    const bool isWellFormed = header.size() == traceparentLength && header.starts_with("00-")
        && header[35] == '-' && header[52] == '-';
    if (!isWellFormed)
        return std::nullopt;
    TraceContext context { header.substr(3, traceIdDigits), header.substr(36, spanIdDigits) };
    if (!isHex(context.traceId) || !isHex(context.spanId) || isAllZero(context.traceId)
        || isAllZero(context.spanId))
        return std::nullopt;
    return context;
}

std::string traceparent(const TraceContext& context)
{
    return "00-" + context.traceId + "-" + context.spanId + "-01";
}

std::string toJson(const Span& span)
{
    return json::serialize(json::object { { "trace_id", span.context.traceId },
        { "span_id", span.context.spanId }, { "parent_span_id", span.parentId }, { "name", span.name },
        { "service.instance.id", span.process },
        { "start_time_unix_nano", span.startUs * nanosecondsPerMicrosecond },
        { "end_time_unix_nano", (span.startUs + span.durationUs) * nanosecondsPerMicrosecond },
        { "status", span.failed ? "ERROR" : "OK" }, { "detail", span.detail } });
}

TraceRing::TraceRing(
    std::string process, std::size_t ordinaryCapacity, std::size_t notableCapacity, std::uint64_t seed)
    : m_process(std::move(process))
    , m_ordinaryCapacity(ordinaryCapacity)
    , m_notableCapacity(notableCapacity)
    , m_random(seed)
{
}

std::string TraceRing::randomHex(std::size_t digits)
{
    static constexpr char alphabet[] = "0123456789abcdef";
    std::string text;
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < digits; ++i) {
        if (i % 16 == 0)
            bits = m_random();
        text += alphabet[bits & 0xf];
        bits >>= 4;
    }
    return text;
}

Span TraceRing::begin(const std::string& name, const std::optional<TraceContext>& parent)
{
    std::lock_guard lock(m_mutex);
    Span span;
    span.context.traceId = parent ? parent->traceId : randomHex(traceIdDigits);
    span.context.spanId = randomHex(spanIdDigits);
    span.parentId = parent ? parent->spanId : std::string();
    span.name = name;
    span.process = m_process;
    span.startUs = wallClockUs();
    return span;
}

bool TraceRing::isNotable(const Span& span) const
{
    return span.failed || span.durationUs >= slowSpanThresholdUs;
}

void TraceRing::end(Span span, bool failed, const std::string& detail)
{
    span.durationUs = std::max<std::int64_t>(0, wallClockUs() - span.startUs);
    span.failed = failed;
    span.detail = detail;
    std::lock_guard lock(m_mutex);
    auto& ring = isNotable(span) ? m_notable : m_ordinary;
    const auto capacity = isNotable(span) ? m_notableCapacity : m_ordinaryCapacity;
    ring.push_back(std::move(span));
    if (ring.size() > capacity)
        ring.pop_front();
}

std::vector<Span> TraceRing::find(const std::string& traceId) const
{
    std::vector<Span> found;
    std::lock_guard lock(m_mutex);
    for (const auto* ring : { &m_ordinary, &m_notable }) {
        for (const auto& span : *ring) {
            if (span.context.traceId == traceId)
                found.push_back(span);
        }
    }
    std::sort(found.begin(), found.end(), [](const Span& a, const Span& b) { return a.startUs < b.startUs; });
    return found;
}

std::string TraceRing::exportLines() const
{
    std::string lines;
    std::lock_guard lock(m_mutex);
    for (const auto* ring : { &m_ordinary, &m_notable }) {
        for (const auto& span : *ring)
            lines += toJson(span) + "\n";
    }
    return lines;
}

} // namespace quay
