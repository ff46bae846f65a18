#include "tableservice/ServerListCodec.h"

#include <array>
#include <boost/json.hpp>

namespace quay {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> kindNames { "entry", "worker", "executor" };

ServerKind kindFromName(std::string_view name)
{
    for (std::size_t i = 0; i < kindNames.size(); ++i) {
        if (kindNames[i] == name)
            return static_cast<ServerKind>(i);
    }
    throw std::invalid_argument("kind must be entry, worker or executor");
}

json::object toObject(const ServerInfo& server)
{
    return { { "id", server.id.text }, { "kind", kindNames[static_cast<std::size_t>(server.kind)] },
        { "domain", server.domain.text }, { "rack", server.rack }, { "address", server.address },
        { "cpu_milli", server.capacity.cpuMilli }, { "memory_mb", server.capacity.memoryMb },
        { "accelerators", server.capacity.accelerators }, { "slots", server.slots },
        { "leaving", server.leaving } };
}

ServerInfo fromObject(const json::object& object)
{
    ServerInfo server;
    server.id = ServerId { std::string(object.at("id").as_string()) };
    server.kind = kindFromName(object.at("kind").as_string());
    server.domain = DomainId { std::string(object.at("domain").as_string()) };
    server.rack = std::string(object.at("rack").as_string());
    server.address = std::string(object.at("address").as_string());
    server.capacity.cpuMilli = object.at("cpu_milli").to_number<std::int64_t>();
    server.capacity.memoryMb = object.at("memory_mb").to_number<std::int64_t>();
    server.capacity.accelerators = object.at("accelerators").to_number<std::int64_t>();
    server.slots = object.at("slots").to_number<std::uint32_t>();
    server.leaving = object.at("leaving").as_bool();
    return server;
}

} // namespace

std::string encodeServer(const ServerInfo& server) { return json::serialize(toObject(server)); }

std::optional<ServerInfo> decodeServer(const std::string& body, Reason& reason)
{
    try {
        return fromObject(json::parse(body).as_object());
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("VM: ") + error.what());
    }
}

std::string encodeServerList(const FleetList& list)
{
    json::array rows;
    for (const auto& server : list.servers)
        rows.push_back(toObject(server));
    return json::serialize(json::object { { "vms", rows } });
}

std::optional<FleetList> decodeServerList(const std::string& body, Reason& reason)
{
    try {
        FleetList list;
        const auto value = json::parse(body);
        for (const auto& row : value.at("vms").as_array())
            list.servers.push_back(fromObject(row.as_object()));
        return list;
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string("VM list: ") + error.what());
    }
}

} // namespace quay
