#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace quay::fuzz {

/**
 * A fuzz target: passes the bytes to one parser and checks the result. Returns 1 if they parsed, 0 if not;
 * throws std::logic_error if a rule is violated.
 */
using Target = int (*)(const std::uint8_t*, std::size_t);

inline std::string toText(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/** Throws if the rule is violated, which fails a test and makes libFuzzer stop and save the input. */
inline void require(bool holds, const char* rule)
{
    if (!holds)
        throw std::logic_error(std::string("rule violated: ") + rule);
}

} // namespace quay::fuzz

// One target per parser, each in the file of that name. They have C linkage so that a libFuzzer build can
// rename a target to LLVMFuzzerTestOneInput by a macro.
extern "C" {
int fuzzJobSpec(const std::uint8_t* data, std::size_t size);
int fuzzJobRecord(const std::uint8_t* data, std::size_t size);
int fuzzConfiguration(const std::uint8_t* data, std::size_t size);
int fuzzConfigCompiler(const std::uint8_t* data, std::size_t size);
int fuzzSettings(const std::uint8_t* data, std::size_t size);
int fuzzTraceparent(const std::uint8_t* data, std::size_t size);
int fuzzTransaction(const std::uint8_t* data, std::size_t size);
int fuzzServerList(const std::uint8_t* data, std::size_t size);
int fuzzPeerEnvelope(const std::uint8_t* data, std::size_t size);
int fuzzStoredRows(const std::uint8_t* data, std::size_t size);
int fuzzPlatformMessages(const std::uint8_t* data, std::size_t size);
int fuzzNodeMessages(const std::uint8_t* data, std::size_t size);
int fuzzScheduler(const std::uint8_t* data, std::size_t size);
}
