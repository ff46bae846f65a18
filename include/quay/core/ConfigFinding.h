#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace quay {

/** One error or warning about a configuration or settings file. */
struct ConfigFinding {
    std::string file;
    std::uint32_t line = 0; // counts from 1
    std::uint32_t column = 0; // counts from 1
    std::string message;
    std::string remedy;

    bool operator==(const ConfigFinding&) const = default;

    /** Orders by file, line, column and message. */
    bool operator<(const ConfigFinding& other) const
    {
        return std::tie(file, line, column, message)
            < std::tie(other.file, other.line, other.column, other.message);
    }

    /** Formats the finding as "file:line:column: message; remedy". */
    std::string explain() const;
};

} // namespace quay
