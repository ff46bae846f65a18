#include "tableservice/TableCodec.h"

#include <boost/json.hpp>

namespace quay {

namespace json = boost::json;

namespace {

std::string stringAt(const json::object& object, const char* name)
{
    return std::string(object.at(name).as_string());
}

std::uint64_t numberAt(const json::object& object, const char* name)
{
    return object.at(name).to_number<std::uint64_t>();
}

// Parses the body and passes its root object to `read`. Syntax errors, missing fields and wrong types are all
// reported as MalformedRequest.
template <typename Read>
auto decode(const std::string& body, const char* bodyName, Reason& reason, Read read)
    -> std::optional<decltype(read(json::object()))>
{
    try {
        return read(json::parse(body).as_object());
    } catch (const std::exception& error) {
        return fail(reason, ErrorKind::MalformedRequest, std::string(bodyName) + ": " + error.what());
    }
}

std::vector<std::string> stringsAt(const json::object& object, const char* name)
{
    std::vector<std::string> texts;
    for (const auto& item : object.at(name).as_array())
        texts.emplace_back(item.as_string());
    return texts;
}

} // namespace

std::string encodeTransaction(const Transaction& transaction)
{
    json::array checks;
    for (const auto& check : transaction.checks)
        checks.push_back(json::object { { "key", check.key }, { "version", check.version } });
    json::array puts;
    for (const auto& put : transaction.puts)
        puts.push_back(json::object { { "key", put.key }, { "value", put.value } });
    json::array deletes;
    for (const auto& key : transaction.deletes)
        deletes.emplace_back(key);
    return json::serialize(json::object { { "checks", checks }, { "puts", puts }, { "deletes", deletes } });
}

std::optional<Transaction> decodeTransaction(const std::string& body, Reason& reason)
{
    return decode(body, "transaction", reason, [](const json::object& object) {
        Transaction transaction;
        for (const auto& item : object.at("checks").as_array())
            transaction.checks.push_back(
                { stringAt(item.as_object(), "key"), numberAt(item.as_object(), "version") });
        for (const auto& item : object.at("puts").as_array())
            transaction.puts.push_back(
                { stringAt(item.as_object(), "key"), stringAt(item.as_object(), "value") });
        transaction.deletes = stringsAt(object, "deletes");
        return transaction;
    });
}

std::string encodeOutcome(const TransactionOutcome& outcome)
{
    if (outcome.status == TransactionStatus::Done)
        return json::serialize(json::object { { "ok", true }, { "version", outcome.version } });
    return json::serialize(json::object { { "ok", false }, { "conflict", outcome.conflictKey } });
}

std::optional<TransactionOutcome> decodeOutcome(const std::string& body, Reason& reason)
{
    return decode(body, "transaction answer", reason, [](const json::object& object) {
        if (object.at("ok").as_bool())
            return TransactionOutcome { TransactionStatus::Done, numberAt(object, "version"), {} };
        return TransactionOutcome { TransactionStatus::Conflict, 0, stringAt(object, "conflict") };
    });
}

std::string encodeKeys(const std::vector<std::string>& keys)
{
    json::array items;
    for (const auto& key : keys)
        items.emplace_back(key);
    return json::serialize(json::object { { "keys", items } });
}

std::optional<std::vector<std::string>> decodeKeys(const std::string& body, Reason& reason)
{
    return decode(body, "read", reason, [](const json::object& object) { return stringsAt(object, "keys"); });
}

std::string encodeScan(const ScanRequest& scan)
{
    return json::serialize(
        json::object { { "prefix", scan.prefix }, { "after", scan.after }, { "limit", scan.limit } });
}

std::optional<ScanRequest> decodeScan(const std::string& body, Reason& reason)
{
    return decode(body, "scan", reason, [](const json::object& object) {
        const auto limit = static_cast<std::uint32_t>(numberAt(object, "limit"));
        return ScanRequest { stringAt(object, "prefix"), stringAt(object, "after"), limit };
    });
}

std::string encodeRows(const std::vector<TableRow>& rows)
{
    json::array items;
    for (const auto& row : rows)
        items.push_back(
            json::object { { "key", row.key }, { "value", row.value }, { "version", row.version } });
    return json::serialize(json::object { { "rows", items } });
}

std::optional<std::vector<TableRow>> decodeRows(const std::string& body, Reason& reason)
{
    return decode(body, "rows", reason, [](const json::object& object) {
        std::vector<TableRow> rows;
        for (const auto& item : object.at("rows").as_array()) {
            const auto& row = item.as_object();
            rows.push_back({ stringAt(row, "key"), stringAt(row, "value"), numberAt(row, "version") });
        }
        return rows;
    });
}

} // namespace quay
