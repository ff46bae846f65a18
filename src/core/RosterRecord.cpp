#include "quay/core/Roster.h"

#include <algorithm>
#include <boost/json.hpp>

namespace quay {

namespace json = boost::json;

namespace {

std::string_view text(MemberState state) { return state == MemberState::Active ? "active" : "draining"; }

MemberState stateFromText(std::string_view name)
{
    if (name != "active" && name != "draining")
        throw std::invalid_argument("state");
    return name == "active" ? MemberState::Active : MemberState::Draining;
}

std::string stringAt(const json::object& object, const char* name)
{
    return std::string(object.at(name).as_string());
}

json::object memberToJson(const RosterMember& member)
{
    return { { "id", member.id.text }, { "state", text(member.state) }, { "renewal", member.renewal },
        { "lease_ms", member.leaseMs }, { "joined", member.joinedEpoch },
        { "confirmed", member.confirmedEpoch }, { "address", member.address }, { "host", member.host } };
}

RosterMember memberFromJson(const json::object& object)
{
    RosterMember member;
    member.id = MemberId { stringAt(object, "id") };
    member.state = stateFromText(object.at("state").as_string());
    member.renewal = object.at("renewal").to_number<std::uint64_t>();
    member.leaseMs = object.at("lease_ms").to_number<std::int64_t>();
    member.joinedEpoch = object.at("joined").to_number<std::uint64_t>();
    member.confirmedEpoch = object.at("confirmed").to_number<std::uint64_t>();
    member.address = stringAt(object, "address");
    member.host = stringAt(object, "host");
    return member;
}

RosterRecord recordFromJson(const json::object& object)
{
    RosterRecord record;
    record.domain = DomainId { stringAt(object, "domain") };
    record.epoch = object.at("epoch").to_number<std::uint64_t>();
    record.leader = MemberId { stringAt(object, "lead") };
    for (const auto& row : object.at("members").as_array())
        record.members.push_back(memberFromJson(row.as_object()));
    return record;
}

} // namespace

std::string rosterKey(const DomainId& domain) { return "roster/" + domain.text; }

std::string toJson(const RosterRecord& record)
{
    json::array members;
    for (const auto& member : record.members)
        members.push_back(memberToJson(member));
    const json::object object { { "domain", record.domain.text }, { "epoch", record.epoch },
        { "lead", record.leader.text }, { "members", std::move(members) } };
    return json::serialize(object);
}

std::optional<RosterRecord> parseRosterRecord(const std::string& text, Reason& reason)
{
    try {
        return recordFromJson(json::parse(text).as_object());
    } catch (const std::exception&) {
        return fail(reason, ErrorKind::MalformedRequest, "not a roster record");
    }
}

const RosterMember* findMember(const RosterRecord& record, const MemberId& id)
{
    for (const auto& member : record.members) {
        if (member.id == id)
            return &member;
    }
    return nullptr;
}

OwnershipView viewOf(const RosterRecord& record)
{
    OwnershipView view { record.epoch, {}, record.leader };
    for (const auto& member : record.members) {
        if (member.state == MemberState::Active)
            view.owners.push_back(member.id);
    }
    return view;
}

std::vector<MemberId> endedPredecessors(
    const RosterRecord& record, const MemberId& self, const std::string& address, const std::string& host)
{
    std::vector<MemberId> ended;
    for (const auto& member : record.members) {
        const bool samePlace = !host.empty() && member.host == host && member.address == address;
        if (samePlace && member.id != self)
            ended.push_back(member.id);
    }
    return ended;
}

bool isInEffect(const RosterRecord& record)
{
    return std::all_of(record.members.begin(), record.members.end(),
        [&](const RosterMember& member) { return member.confirmedEpoch == record.epoch; });
}

} // namespace quay
