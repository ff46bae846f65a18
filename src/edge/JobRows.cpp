#include "edge/JobRows.h"

#include "Wire.h"

#include <boost/json.hpp>

namespace quay::edge {

namespace json = boost::json;

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

std::optional<fleet::WorkRequest> requestOf(const StoredJob& job, Reason& reason)
{
    auto request = platform::decodeJobRequest(job.body, reason);
    if (!request)
        return std::nullopt;
    request->id = job.id;
    request->queue = job.queue;
    request->team = job.team;
    return request;
}

std::string encode(const LeadRecord& lead)
{
    return json::serialize(json::object { { "node", lead.node }, { "address", lead.address },
        { "incarnation", lead.incarnation }, { "sequence", lead.sequence },
        { "strongest", lead.strongestShare } });
}

std::optional<LeadRecord> decodeLeadRecord(const std::string& bytes, Reason& reason)
{
    try {
        const auto value = json::parse(bytes);
        const auto& object = value.as_object();
        LeadRecord lead { std::string(object.at("node").as_string()),
            std::string(object.at("address").as_string()),
            object.at("incarnation").to_number<std::uint64_t>(),
            object.at("sequence").to_number<std::uint64_t>() };
        if (const auto* it = object.if_contains("strongest")) // rows of earlier releases lack it
            lead.strongestShare = it->to_number<double>();
        return lead;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("lead record: ") + error.what());
    }
}

} // namespace quay::edge
