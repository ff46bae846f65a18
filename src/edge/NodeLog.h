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

/** One field of a line: a name and its value. */
using LogField = std::pair<std::string_view, std::string>;

/**
 * Writes one JSON object a line to standard output from a thread of its own. It never blocks its callers: a
 * line that finds the ring full, or its event over its rate, is left out and counted; the count is written
 * later.
 *
 * Usage: `log.write("job_accepted", jobId, { { "team", team } });`
 */
class NodeLog {
public:
    explicit NodeLog(std::string node);
    ~NodeLog();
    NodeLog(const NodeLog&) = delete;
    NodeLog& operator=(const NodeLog&) = delete;

    /** `request` is the id of the request that the line is about; may be empty. Call on one thread. */
    void write(std::string_view event, const std::string& request, std::initializer_list<LogField> fields);
    /** The same with the fields as "name=value name=value". */
    void writeText(std::string_view event, const std::string& request, const std::string& fields);

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
