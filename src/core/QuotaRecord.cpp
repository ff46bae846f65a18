#include "quay/core/QuotaRecord.h"

#include <algorithm>
#include <boost/json.hpp>
#include <string_view>

namespace quay {

namespace {

namespace json = boost::json;

constexpr std::string_view keyPrefix = "quota/";

json::object entryToJson(const QuotaEntry& entry)
{
    return { { "domain", entry.domain.text }, { "joinEpoch", entry.joinEpoch }, { "granted", entry.granted },
        { "demand", entry.demand }, { "sequence", entry.sequence } };
}

QuotaEntry entryFromJson(const json::value& value)
{
    QuotaEntry entry;
    entry.domain = DomainId { json::value_to<std::string>(value.at("domain")) };
    entry.joinEpoch = value.at("joinEpoch").to_number<std::uint64_t>();
    entry.granted = value.at("granted").to_number<std::int64_t>();
    entry.demand = value.at("demand").to_number<std::int64_t>();
    entry.sequence = value.at("sequence").to_number<std::uint64_t>();
    return entry;
}

QuotaRecord recordFromJson(const json::value& value)
{
    QuotaRecord record;
    record.limit = value.at("limit").to_number<std::int64_t>();
    record.target = value.at("target").to_number<std::int64_t>();
    record.configVersion = value.at("configVersion").to_number<std::uint64_t>();
    for (const auto& [member, entry] : value.at("grants").as_object())
        record.entries.emplace(MemberId { std::string(member) }, entryFromJson(entry));
    return record;
}

bool isConsistent(const QuotaRecord& record)
{
    std::int64_t remaining = record.limit;
    if (record.limit < 0 || record.target < 0)
        return false;
    for (const auto& [member, entry] : record.entries) {
        if (entry.granted < 0 || entry.demand < 0 || entry.granted > remaining)
            return false;
        remaining -= entry.granted;
    }
    return true;
}

} // namespace

std::int64_t totalGranted(const QuotaRecord& record)
{
    std::int64_t total = 0;
    for (const auto& [member, entry] : record.entries)
        total += entry.granted;
    return total;
}

std::int64_t ungrantedUnits(const QuotaRecord& record)
{
    const std::int64_t grantable = std::min(record.limit, record.target);
    return std::max<std::int64_t>(0, grantable - totalGranted(record));
}

bool isTargetEffective(const QuotaRecord& record) { return record.limit == record.target; }

void applyTargetLimit(QuotaRecord& record)
{
    const std::int64_t minLimit = std::max(record.target, totalGranted(record));
    const bool isRaised = record.target >= record.limit;
    // Grants above the limit are a violated invariant; raising the limit to their sum would hide it.
    record.limit = isRaised ? record.target : std::min(record.limit, minLimit);
}

std::string quotaKey(const TeamId& team) { return std::string(keyPrefix) + team.text; }

std::optional<TeamId> teamOfQuotaKey(const std::string& key)
{
    if (!key.starts_with(keyPrefix) || key.size() == keyPrefix.size())
        return std::nullopt;
    return TeamId { key.substr(keyPrefix.size()) };
}

std::string toJson(const QuotaRecord& record)
{
    json::object grants;
    for (const auto& [member, entry] : record.entries)
        grants[member.text] = entryToJson(entry);
    return json::serialize(json::object { { "limit", record.limit }, { "target", record.target },
        { "configVersion", record.configVersion }, { "grants", std::move(grants) } });
}

std::optional<QuotaRecord> parseQuotaRecord(const std::string& text, Reason& reason)
{
    try {
        QuotaRecord record = recordFromJson(json::parse(text));
        if (!isConsistent(record))
            return fail(
                reason, ErrorKind::MalformedRequest, "quota row: negative value or grants above the limit");
        return record;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("quota row: ") + error.what());
    }
}

} // namespace quay
