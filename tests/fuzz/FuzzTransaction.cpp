#include "fuzz/Fuzz.h"
#include "tableservice/TableCodec.h"

using namespace quay;

namespace {

// Every body of the table service goes through its reader; what is read is printed and read again.
template <typename Value, typename Encode>
bool survives(
    std::optional<Value> (*decode)(const std::string&, Reason&), Encode encode, const std::string& body)
{
    Reason reason;
    const auto value = decode(body, reason);
    if (!value) {
        fuzz::require(reason.kind == ErrorKind::MalformedRequest, "a refusal has its kind");
        return false;
    }
    const auto again = decode(encode(*value), reason);
    fuzz::require(again && *again == *value, "parse(print(body)) == body");
    return true;
}

} // namespace

int fuzzTransaction(const std::uint8_t* data, std::size_t size)
{
    const auto body = fuzz::toText(data, size);
    bool parsed = survives<Transaction>(decodeTransaction, encodeTransaction, body);
    parsed |= survives<TransactionOutcome>(decodeOutcome, encodeOutcome, body);
    parsed |= survives<std::vector<std::string>>(decodeKeys, encodeKeys, body);
    parsed |= survives<std::vector<TableRow>>(decodeRows, encodeRows, body);
    Reason reason;
    if (const auto scan = decodeScan(body, reason)) {
        const auto again = decodeScan(encodeScan(*scan), reason);
        fuzz::require(again && again->prefix == scan->prefix && again->after == scan->after
                && again->limit == scan->limit,
            "parse(print(scan)) == scan");
        parsed = true;
    }
    return parsed;
}
