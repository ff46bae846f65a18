#include "fuzz/Fuzz.h"
#include "tableservice/ServerListCodec.h"

using namespace quay;

int fuzzServerList(const std::uint8_t* data, std::size_t size)
{
    const auto body = fuzz::toText(data, size);
    Reason reason;
    if (const auto server = decodeServer(body, reason)) {
        const auto reparsed = decodeServer(encodeServer(*server), reason);
        fuzz::require(
            reparsed && encodeServer(*reparsed) == encodeServer(*server), "parse(print(server)) == server");
    }
    const auto list = decodeServerList(body, reason);
    if (!list) {
        fuzz::require(reason.kind == ErrorKind::MalformedRequest, "a refusal has kind MalformedRequest");
        return 0;
    }
    const auto reparsed = decodeServerList(encodeServerList(*list), reason);
    fuzz::require(
        reparsed && encodeServerList(*reparsed) == encodeServerList(*list), "parse(print(list)) == list");
    return 1;
}
