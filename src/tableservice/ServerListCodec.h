#pragma once

#include "quay/core/Fleet.h"
#include "quay/core/Reason.h"

#include <optional>
#include <string>

namespace quay {

/** The JSON encoding of one row of the VM list. */
std::string encodeServer(const ServerInfo& server);
std::optional<ServerInfo> decodeServer(const std::string& body, Reason& reason);

/** The response body of GET /v1/vms. */
std::string encodeServerList(const FleetList& list);
std::optional<FleetList> decodeServerList(const std::string& body, Reason& reason);

} // namespace quay
