#include "edge/PeerClient.h"
#include "edge/RelayCodec.h"
#include "fuzz/Fuzz.h"

using namespace quay;

// What nodes send to each other; the sender may run any release.
int fuzzNodeMessages(const std::uint8_t* data, std::size_t size)
{
    const auto bytes = fuzz::toText(data, size);
    int parsed = 0;
    if (const auto probe = edge::decodeLeaderProbe(bytes)) {
        fuzz::require(
            edge::decodeLeaderProbe(encode(*probe)).has_value(), "an accepted probe can be sent again");
        parsed = 1;
    }
    if (const auto status = edge::decodeLeaderStatus(bytes)) {
        fuzz::require(
            edge::decodeLeaderStatus(encode(*status)) == status, "decode(encode(status)) == status");
        parsed = 1;
    }
    std::string step;
    std::vector<std::string> workers;
    Duration timeout {};
    if (edge::decodeApprovalRequest(bytes, step, workers, timeout))
        parsed = 1;
    if (const auto answer = edge::decodeCancelAnswer(bytes); answer != edge::CancelAnswer::Unavailable) {
        fuzz::require(edge::decodeCancelAnswer(encode(answer)) == answer, "decode(encode(answer)) == answer");
        parsed = 1;
    }
    if (const auto request = edge::decodeRelayRequest(bytes)) {
        const auto again = edge::decodeRelayRequest(encode(*request));
        fuzz::require(again && again->calls.size() == request->calls.size(), "calls survive encoding");
        for (std::size_t i = 0; i < request->calls.size(); ++i)
            fuzz::require(again->calls[i].domain == request->calls[i].domain, "domains survive encoding");
        parsed = 1;
    }
    if (const auto results = edge::decodeRelayResults(bytes)) {
        const auto again = edge::decodeRelayResults(encode(*results));
        fuzz::require(again && again->size() == results->size(), "results survive encoding");
        parsed = 1;
    }
    return parsed;
}
