#pragma once

#include "quay/core/Reason.h"
#include "tableservice/Transaction.h"

#include <optional>
#include <string>
#include <vector>

namespace quay {

/** The request body of POST /v1/txn. */
std::string encodeTransaction(const Transaction& transaction);
std::optional<Transaction> decodeTransaction(const std::string& body, Reason& reason);

/** The response body of POST /v1/txn. Only Done and Conflict can be encoded. */
std::string encodeOutcome(const TransactionOutcome& outcome);
std::optional<TransactionOutcome> decodeOutcome(const std::string& body, Reason& reason);

/** The request body of POST /v1/get. */
std::string encodeKeys(const std::vector<std::string>& keys);
std::optional<std::vector<std::string>> decodeKeys(const std::string& body, Reason& reason);

/** Requests one page of the rows whose keys start with `prefix` and sort after the key `after`. */
struct ScanRequest {
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
};

/** The request body of POST /v1/scan. */
std::string encodeScan(const ScanRequest& scan);
std::optional<ScanRequest> decodeScan(const std::string& body, Reason& reason);

/** The response body of POST /v1/get and POST /v1/scan. */
std::string encodeRows(const std::vector<TableRow>& rows);
std::optional<std::vector<TableRow>> decodeRows(const std::string& body, Reason& reason);

} // namespace quay
