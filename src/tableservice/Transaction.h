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

/** A condition of a transaction: the row must have exactly this version. */
struct VersionCheck {
    std::string key;
    std::uint64_t version = 0; // 0: the row must not exist

    bool operator==(const VersionCheck&) const = default;
};

/** A new value of a row. */
struct RowPut {
    std::string key;
    std::string value;

    bool operator==(const RowPut&) const = default;
};

/** Writes that take effect together, and only if every check holds. */
struct Transaction {
    std::vector<VersionCheck> checks;
    std::vector<RowPut> puts;
    std::vector<std::string> deletes;

    bool operator==(const Transaction&) const = default;
};

/** What became of a transaction. */
enum class TransactionStatus {
    Done, // it took effect, exactly once
    Conflict, // a check failed; nothing was written
    NotSent, // it surely never reached the table service
    Unknown, // no answer in time: it may or may not have taken effect, or may still do so
};

/** The outcome of a transaction. */
struct TransactionOutcome {
    TransactionStatus status = TransactionStatus::Unknown;
    std::uint64_t version = 0; // Done: the version of all rows that were put
    std::string conflictKey; // Conflict: the first check that failed

    bool operator==(const TransactionOutcome&) const = default;
};

} // namespace quay
