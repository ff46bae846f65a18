#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace quay {

/** A row as read from the table service. Version 0 means that the row doesn't exist. */
struct TableRow {
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(const TableRow&) const = default;
};

/** A precondition of a transaction: the row must have exactly this version. */
struct VersionCheck {
    std::string key;
    std::uint64_t version = 0; // 0: the row must not exist

    bool operator==(const VersionCheck&) const = default;
};

/** Writes a value to a row. */
struct RowPut {
    std::string key;
    std::string value;

    bool operator==(const RowPut&) const = default;
};

/** Writes that are applied atomically, and only if every check holds. */
struct Transaction {
    std::vector<VersionCheck> checks;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;

    bool operator==(const Transaction&) const = default;
};

/** Whether a transaction took effect. */
enum class TransactionStatus {
    Done, // the transaction took effect, exactly once
    Conflict, // a check failed; nothing was written
    NotSent, // the transaction certainly never reached the table service
    Unknown, // no response in time; the transaction may have taken effect or may still do so
};

/** The outcome of a transaction. */
struct TransactionOutcome {
    TransactionStatus status = TransactionStatus::Unknown;
    std::uint64_t version = 0; // if Done: the version of all rows that were put
    std::string conflictKey; // if Conflict: the key of the first check that failed

    bool operator==(const TransactionOutcome&) const = default;
};

} // namespace quay
