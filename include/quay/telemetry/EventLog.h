#pragma once

#include "quay/core/Settings.h"
#include "quay/telemetry/Event.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace quay {

/** One field of a logged event: name and value. */
using EventField = std::pair<std::string_view, std::string>;

/**
 * Writes numbered events to the standard error stream, as text or as JSON lines. write() is callable from
 * any thread.
 *
 * Usage: `log.write(EventId::LeadGained, { { "epoch", "7" }, { "jobs", "12" } });`
 */
class EventLog {
public:
    explicit EventLog(const LogSettings& settings);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    /** Logs an event, unless its level is below the configured one. */
    void write(EventId id, const std::vector<EventField>& fields) const;

    /** The line that write() logs, without the time stamp. */
    static std::string format(LogFormat format, EventId id, const std::vector<EventField>& fields);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace quay
