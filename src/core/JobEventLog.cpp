#include "quay/core/JobEventLog.h"

#include <algorithm>

namespace quay {

namespace {

JobEvent eventOf(const JobRecord& record, std::uint64_t version)
{
    JobEvent event { version, record.id, record.spec.team, record.spec.queue, record.state, 0 };
    const auto finished = std::count_if(
        record.tasks.begin(), record.tasks.end(), [](const TaskRecord& task) { return isFinal(task.state); });
    event.finishedTasks = static_cast<std::uint32_t>(finished);
    return event;
}

} // namespace

void JobEventLog::record(const JobRecord& record, std::uint64_t version)
{
    auto& known = m_versionOf[record.id];
    if (known > version)
        return;
    m_events.erase({ known, record.id });
    known = version;
    m_events.emplace(std::make_pair(version, record.id), eventOf(record, version));
    m_latest = std::max(m_latest, version);
}

void JobEventLog::removeJob(const JobId& job, std::uint64_t version)
{
    auto it = m_versionOf.find(job);
    if (it != m_versionOf.end()) {
        m_events.erase({ it->second, job });
        m_versionOf.erase(it);
    }
    trimBefore(version);
}

void JobEventLog::trimBefore(std::uint64_t version)
{
    m_trimmedBefore = std::max(m_trimmedBefore, version);
    m_latest = std::max(m_latest, m_trimmedBefore);
}

void JobEventLog::clear() { *this = JobEventLog {}; }

std::optional<JobEventPage> JobEventLog::eventsAfter(
    const TeamId& team, std::uint64_t cursor, std::size_t limit) const
{
    if (cursor && cursor < m_trimmedBefore)
        return std::nullopt;
    JobEventPage page;
    page.cursor = std::max(cursor, m_latest);
    for (auto it = m_events.upper_bound({ cursor, JobId { std::string(1, '\x7f') } }); it != m_events.end();
         ++it) {
        // A page ends between two commits, never within one: a cursor is a version and can't split a commit.
        const bool nextCommit = page.events.empty() || page.events.back().cursor != it->first.first;
        if (page.events.size() >= limit && nextCommit) {
            page.cursor = page.events.back().cursor;
            break;
        }
        if (it->second.team == team)
            page.events.push_back(it->second);
    }
    return page;
}

} // namespace quay
