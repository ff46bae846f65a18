#include "quay/telemetry/EventLog.h"

#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace quay {

namespace json = boost::json;

namespace {

std::string eventNumber(EventId id) { return "BQ-" + std::to_string(static_cast<unsigned>(id)); }

log4cplus::LogLevel logLevel(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case EventLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case EventLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case EventLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::LogLevel logLevelThreshold(const std::string& level)
{
    if (level == "trace" || level == "debug")
        return log4cplus::DEBUG_LOG_LEVEL;
    if (level == "warn")
        return log4cplus::WARN_LOG_LEVEL;
    if (level == "error")
        return log4cplus::ERROR_LOG_LEVEL;
    return log4cplus::INFO_LOG_LEVEL;
}

// Quotes an empty value and one with a separator, so that fields can be split at spaces.
std::string quoteIfNeeded(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n") == std::string::npos)
        return value;
    return json::serialize(json::value(value));
}

} // namespace

struct EventLog::Impl {
    log4cplus::Initializer initializer;
    LogFormat format = LogFormat::Text;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("quay");
};

EventLog::EventLog(const LogSettings& settings)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->format = settings.format;
    const bool logToStandardError = true;
    const bool shouldFlushEachLine = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(logToStandardError, shouldFlushEachLine));
    const std::string pattern
        = settings.format == LogFormat::Json ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    m_impl->logger.removeAllAppenders();
    m_impl->logger.addAppender(appender);
    m_impl->logger.setLogLevel(logLevelThreshold(settings.level));
}

EventLog::~EventLog() = default;

std::string EventLog::format(LogFormat format, EventId id, const std::vector<EventField>& fields)
{
    const auto& entry = describe(id);
    if (format == LogFormat::Json) {
        json::object object { { "event", eventNumber(id) }, { "name", entry.name },
            { "level", text(entry.level) } };
        for (const auto& [name, value] : fields)
            object[name] = value;
        return json::serialize(object);
    }
    std::string line = eventNumber(id) + " " + std::string(entry.name);
    for (const auto& [name, value] : fields)
        line.append(" ").append(name).append("=").append(quoteIfNeeded(value));
    return line;
}

void EventLog::write(EventId id, const std::vector<EventField>& fields) const
{
    const auto level = logLevel(describe(id).level);
    if (!m_impl->logger.isEnabledFor(level))
        return;
    m_impl->logger.forcedLog(level, format(m_impl->format, id, fields), __FILE__, __LINE__);
}

} // namespace quay
