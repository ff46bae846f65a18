#include "edge/JobRows.h"

#include "Wire.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace quay::edge {

namespace json = boost::json;

// Job ids are hexadecimal numbers, of which callers draw the last digits at random or count them.
std::string intakePartitionOf(const std::string& jobId)
{
    constexpr std::size_t usedDigits = 2;
    const auto digits = jobId.substr(jobId.size() - std::min(jobId.size(), usedDigits));
    unsigned value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return "intake-" + std::to_string(value % intakePartitionCount);
}

std::string encode(const StoredJob& job)
{
    return json::serialize(json::object {
        { "id", job.id }, { "queue", job.queue }, { "team", job.team }, { "body", job.body } });
}

std::optional<StoredJob> decodeStoredJob(const std::string& bytes, Reason& reason)
{
    try {
        const auto value = json::parse(bytes);
        const auto& object = value.as_object();
        return StoredJob { std::string(object.at("id").as_string()),
            std::string(object.at("queue").as_string()), std::string(object.at("team").as_string()),
            std::string(object.at("body").as_string()) };
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("stored job: ") + error.what());
    }
}

std::optional<fleet::JobRequest> toJobRequest(const StoredJob& job, Reason& reason)
{
    auto request = platform::decodeJobRequest(job.body, reason);
    if (!request)
        return std::nullopt;
    request->id = job.id;
    request->queue = job.queue;
    request->team = job.team;
    if (!validate(*request, reason)) // a row may have been written by something else than a node
        return std::nullopt;
    return request;
}

std::string encode(const LeadershipRecord& leadership)
{
    return json::serialize(json::object { { "node", leadership.node }, { "address", leadership.address },
        { "incarnation", leadership.incarnation }, { "sequence", leadership.sequence },
        { "strongest", leadership.largestShare }, { "candidates", leadership.candidateCount },
        { "format", leadership.format } });
}

std::optional<LeadershipRecord> decodeLeadershipRecord(const std::string& bytes, Reason& reason)
{
    try {
        const auto value = json::parse(bytes);
        const auto& object = value.as_object();
        LeadershipRecord leadership { std::string(object.at("node").as_string()),
            std::string(object.at("address").as_string()),
            object.at("incarnation").to_number<std::uint64_t>(),
            object.at("sequence").to_number<std::uint64_t>() };
        const auto* format = object.if_contains("format");
        leadership.format = format ? format->to_number<int>() : 0;
        if (const auto* it = object.if_contains("strongest")) // missing in rows of earlier releases
            leadership.largestShare = it->to_number<double>();
        if (const auto* it = object.if_contains("candidates"))
            leadership.candidateCount = it->to_number<std::size_t>();
        return leadership;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("leadership row: ") + error.what());
    }
}

} // namespace quay::edge
