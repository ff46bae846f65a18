#pragma once

#include "quay/core/Reason.h"
#include "tableservice/Transaction.h"

#include <optional>
#include <string>
#include <vector>

namespace quay {

/** The body of POST /v1/txn. */
std::string encodeTransaction(const Transaction& transaction);
std::optional<Transaction> decodeTransaction(const std::string& body, Reason& reason);

/** The answer to POST /v1/txn; only Done and Conflict have an encoding. */
std::string encodeOutcome(const TransactionOutcome& outcome);
std::optional<TransactionOutcome> decodeOutcome(const std::string& body, Reason& reason);

/** The body of POST /v1/get. */
std::string encodeKeys(const std::vector<std::string>& keys);
std::optional<std::vector<std::string>> decodeKeys(const std::string& body, Reason& reason);

/** One page of rows whose keys begin with a prefix and come after a key. */
struct ScanRequest {
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
};

/** The body of POST /v1/scan. */
std::string encodeScan(const ScanRequest& scan);
std::optional<ScanRequest> decodeScan(const std::string& body, Reason& reason);

/** The answer to both reads. */
std::string encodeRows(const std::vector<TableRow>& rows);
std::optional<std::vector<TableRow>> decodeRows(const std::string& body, Reason& reason);

} // namespace quay
