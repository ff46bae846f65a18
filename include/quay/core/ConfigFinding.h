#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace quay {

/** One thing that is wrong (or odd) in a file that an operator wrote. */
struct ConfigFinding {
    std::string file;
    std::uint32_t line = 0; // counts from 1
    std::uint32_t column = 0; // counts from 1
    std::string message;
    std::string remedy;

    bool operator==(const ConfigFinding&) const = default;

    /** In order of file, then of place. */
    bool operator<(const ConfigFinding& other) const
    {
        return std::tie(file, line, column, message)
            < std::tie(other.file, other.line, other.column, other.message);
    }

    /** "file:line:column: message; remedy". */
    std::string explain() const;
};

} // namespace quay
