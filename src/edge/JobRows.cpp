#include "edge/JobRows.h"

#include "Wire.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>

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

bool isSameSubmission(const StoredJob& a, const StoredJob& b)
{
    return a.id == b.id && a.body == b.body && a.team == b.team;
}

namespace {

json::object encodePolicy(const fleet::QueuePolicy& policy)
{
    json::object object { { "service", policy.service }, { "priority", policy.priority },
        { "attempts", policy.maxAttempts }, { "factor", policy.objectiveFactor },
        { "slackMs", policy.objectiveSlackMs } };
    if (const auto& approval = policy.approval)
        object["approval"] = { approval->decisionMs, approval->perWorkerMs, approval->ticketValidityMs };
    return object;
}

double boundedNumber(const json::value& value)
{
    constexpr double most = 9e15; // as in a configuration
    const auto number = value.to_number<double>();
    if (std::abs(number) > most)
        throw std::out_of_range("a number of the policy is out of range");
    return number;
}

fleet::QueuePolicy decodePolicy(const json::object& object, const std::string& queue)
{
    fleet::QueuePolicy policy;
    policy.name = queue;
    policy.service = std::string(object.at("service").as_string());
    policy.priority = object.at("priority").to_number<int>();
    policy.maxAttempts = std::max(1, object.at("attempts").to_number<int>());
    policy.objectiveFactor = boundedNumber(object.at("factor"));
    policy.objectiveSlackMs = static_cast<std::int64_t>(boundedNumber(object.at("slackMs")));
    if (const auto* it = object.if_contains("approval")) {
        const auto& fields = it->as_array();
        policy.approval = fleet::ApprovalPolicy { boundedNumber(fields.at(0)), boundedNumber(fields.at(1)),
            static_cast<std::int64_t>(boundedNumber(fields.at(2))) };
    }
    return policy;
}

} // namespace

std::string encode(const StoredJob& job)
{
    json::object object { { "id", job.id }, { "queue", job.queue }, { "team", job.team },
        { "body", job.body } };
    if (job.policy)
        object["policy"] = encodePolicy(*job.policy);
    return json::serialize(object);
}

std::optional<StoredJob> decodeStoredJob(const std::string& bytes, Reason& reason)
{
    std::optional<StoredJob> job;
    try {
        const auto value = json::parse(bytes);
        const auto& object = value.as_object();
        job = StoredJob { std::string(object.at("id").as_string()),
            std::string(object.at("queue").as_string()), std::string(object.at("team").as_string()),
            std::string(object.at("body").as_string()), {} };
        if (const auto* policy = object.if_contains("policy")) // releases before stored none
            job->policy = decodePolicy(policy->as_object(), job->queue);
    } catch (const std::exception& error) {
        fail(reason, ErrorKind::MalformedRequest,
            std::string(job ? "policy of a stored job: " : "stored job: ") + error.what());
    }
    return job;
}

std::optional<fleet::JobRequest> toJobRequest(const StoredJob& job, Reason& reason)
{
    auto request = platform::decodeJobRequest(job.body, reason);
    if (!request)
        return std::nullopt;
    request->id = job.id;
    request->queue = job.queue;
    request->team = job.team;
    request->acceptedPolicy = job.policy;
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
