#include "service/AckRows.h"

#include <boost/json.hpp>

namespace quay {

namespace json = boost::json;

namespace {

constexpr std::string_view prefix = "config/ack/";

} // namespace

std::string ackKey(const std::string& vm) { return std::string(prefix) + vm; }

std::string ackValue(std::uint64_t confirmed)
{
    return json::serialize(json::object { { "confirmed", confirmed } });
}

std::map<std::string, std::uint64_t> confirmedByVm(const std::vector<TableRow>& rows)
{
    std::map<std::string, std::uint64_t> confirmed;
    for (const auto& row : rows) {
        boost::system::error_code ec;
        const auto value = json::parse(row.value, ec);
        const auto* number = !ec && value.is_object() ? value.get_object().if_contains("confirmed") : nullptr;
        // A row that can't be parsed confirms nothing: the acceptor then waits until the VM's view has
        // expired.
        const bool readable = number && number->is_number();
        confirmed[row.key.substr(prefix.size())] = readable ? number->to_number<std::uint64_t>() : 0;
    }
    return confirmed;
}

std::string vmOf(const MemberId& member) { return member.text.substr(0, member.text.find('#')); }

std::vector<VersionCheck> abandonedAcks(AckObservations& observations, const std::vector<TableRow>& rows,
    const std::set<std::string>& liveVms, const AckTimes& times, Instant now)
{
    AckObservations seen;
    std::vector<VersionCheck> abandoned;
    for (const auto& row : rows) {
        const auto known = observations.find(row.key);
        const bool unchanged = known != observations.end() && known->second.first == row.version;
        const auto since = unchanged ? known->second.second : now;
        seen[row.key] = { row.version, since };
        if (now - since >= times.removeAfter && !liveVms.contains(row.key.substr(prefix.size())))
            abandoned.push_back({ row.key, row.version });
    }
    observations = std::move(seen);
    return abandoned;
}

} // namespace quay
