#include "fuzz/Fuzz.h"
#include "tableservice/TableCodec.h"

using namespace quay;

namespace {

// Parses a body of the table service; if it parses, it must be unchanged after serializing and parsing again.
template <typename Value, typename Encode>
bool roundTrips(
    std::optional<Value> (*decode)(const std::string&, Reason&), Encode encode, const std::string& body)
{
    Reason reason;
    const auto value = decode(body, reason);
    if (!value) {
        fuzz::require(reason.kind == ErrorKind::MalformedRequest, "a refusal has kind MalformedRequest");
        return false;
    }
    const auto reparsed = decode(encode(*value), reason);
    fuzz::require(reparsed && *reparsed == *value, "parse(print(body)) == body");
    return true;
}

} // namespace

int fuzzTransaction(const std::uint8_t* data, std::size_t size)
{
    const auto body = fuzz::toText(data, size);
    bool parsed = roundTrips<Transaction>(decodeTransaction, encodeTransaction, body);
    parsed |= roundTrips<TransactionOutcome>(decodeOutcome, encodeOutcome, body);
    parsed |= roundTrips<std::vector<std::string>>(decodeKeys, encodeKeys, body);
    parsed |= roundTrips<std::vector<TableRow>>(decodeRows, encodeRows, body);
    Reason reason;
    if (const auto scan = decodeScan(body, reason)) {
        const auto reparsed = decodeScan(encodeScan(*scan), reason);
        fuzz::require(reparsed && reparsed->prefix == scan->prefix && reparsed->after == scan->after
                && reparsed->limit == scan->limit,
            "parse(print(scan)) == scan");
        parsed = true;
    }
    return parsed;
}
