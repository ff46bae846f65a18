#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace quay {

/** One thing that is wrong (or odd) in a file that an operator wrote. */
struct ConfigFinding {
    std::string file;
    std::uint32_t line = 0; // counts from 1
    std::uint32_t column = 0; // counts from 1
    std::string message;
    std::string remedy;

    auto operator<=>(const ConfigFinding&) const = default;

    /** "file:line:column: message; remedy". */
    std::string explain() const;
};

} // namespace quay
