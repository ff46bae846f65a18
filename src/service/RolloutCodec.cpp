#include "service/RolloutCodec.h"

#include "peer.pb.h"

#include <algorithm>

namespace quay {

namespace {

std::optional<StoredRow> storedRow(const std::string& text, std::uint64_t version, Reason& reason)
{
    if (!version)
        return StoredRow {};
    auto row = parseRolloutRow(text, reason);
    if (!row)
        return std::nullopt;
    return StoredRow { std::move(*row), version };
}

std::optional<StoredRow> storedRow(const std::vector<TableRow>& rows, const char* key, Reason& reason)
{
    const auto found
        = std::find_if(rows.begin(), rows.end(), [&](const TableRow& row) { return row.key == key; });
    if (found == rows.end())
        return fail(reason, ErrorKind::MalformedRequest, std::string("no row ") + key);
    return storedRow(found->value, found->version, reason);
}

} // namespace

std::optional<RolloutView> viewOfRows(const std::vector<TableRow>& rows, Reason& reason)
{
    auto accepted = storedRow(rows, acceptedKey, reason);
    auto prepared = storedRow(rows, preparedKey, reason);
    if (!accepted || !prepared)
        return std::nullopt;
    return RolloutView { std::move(*accepted), std::move(*prepared) };
}

Transaction transactionOf(const rollout::Write& write)
{
    Transaction transaction;
    transaction.checks.push_back({ acceptedKey, write.seen.accepted.storeVersion });
    transaction.checks.push_back({ preparedKey, write.seen.prepared.storeVersion });
    transaction.puts.push_back({ write.accepted ? acceptedKey : preparedKey, toJson(write.row) });
    return transaction;
}

void encode(const rollout::PeerAnswer& answer, wire::ConfigAnswer& message)
{
    message.set_request(answer.request);
    const auto& [accepted, prepared] = answer.view;
    message.set_accepted_row_version(accepted.storeVersion);
    if (accepted.storeVersion)
        message.set_accepted(toJson(accepted.row));
    message.set_prepared_row_version(prepared.storeVersion);
    if (prepared.storeVersion)
        message.set_prepared(toJson(prepared.row));
    message.set_has_age(answer.age.has_value());
    if (answer.age)
        message.set_age_us(
            static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::microseconds>(*answer.age).count()));
    message.set_promised(answer.promised);
}

std::optional<rollout::PeerAnswer> decode(const wire::ConfigAnswer& message, Reason& reason)
{
    auto accepted = storedRow(message.accepted(), message.accepted_row_version(), reason);
    auto prepared = storedRow(message.prepared(), message.prepared_row_version(), reason);
    if (!accepted || !prepared)
        return std::nullopt;
    rollout::PeerAnswer answer;
    answer.request = message.request();
    answer.view = RolloutView { std::move(*accepted), std::move(*prepared) };
    if (message.has_age())
        answer.age = std::chrono::microseconds(message.age_us());
    answer.promised = message.promised();
    return answer;
}

} // namespace quay
