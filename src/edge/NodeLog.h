#pragma once

#include "quay/core/Time.h"
#include "quay/kernel/BoundedRing.h"

#include <atomic>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace quay::edge {

/** Name and value of one field of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** The milliseconds from `since` to `now` for a log field; "never" if `since` is zero. */
std::string ageText(Instant since, Instant now);

/**
 * Structured log: writes one JSON object per line to standard output from its own thread. It never blocks its
 * callers: a line is dropped if the ring buffer is full or its event exceeds its rate limit. Dropped lines
 * are counted, and the count is logged later as `lines_omitted`.
 *
 * Usage: `log.write("job_accepted", jobId, { { "team", team } });`
 */
class NodeLog {
public:
    explicit NodeLog(std::string node);
    ~NodeLog();
    NodeLog(const NodeLog&) = delete;
    NodeLog& operator=(const NodeLog&) = delete;

    /** `request`: id of the request that the line is about; may be empty. Call from one thread only. */
    void write(std::string_view event, const std::string& request, std::initializer_list<LogField> fields);
    /** Like write(), with the fields as one text, "name=value name=value", in the field `detail`. */
    void writeText(std::string_view event, const std::string& request, const std::string& fields);

    /** Bytes of all lines passed to the writer thread, including those dropped because the ring was full. */
    std::uint64_t bytesWritten() const { return m_bytes; }

private:
    bool admit(std::string_view event);
    void push(std::string line);
    void runWriter();

    struct Rate {
        Instant windowStart;
        int count = 0;
        int omitted = 0;
    };

    std::string m_node;
    std::map<std::string, Rate, std::less<>> m_rates;
    BoundedRing<std::string> m_ring;
    std::atomic<bool> m_isStopping = false;
    std::atomic<std::uint64_t> m_bytes = 0;
    std::thread m_writer;
};

} // namespace quay::edge
