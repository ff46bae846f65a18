#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace quay::fuzz {

/** A fuzz target: feeds the bytes to one parser. Returns 1 if they parsed, 0 if not; throws at a broken rule.
 */
using Target = int (*)(const std::uint8_t*, std::size_t);

inline std::string toText(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

/** Reports a broken rule: the test fails with it, and libFuzzer stops and keeps the input. */
inline void require(bool holds, const char* rule)
{
    if (!holds)
        throw std::logic_error(std::string("broken rule: ") + rule);
}

} // namespace quay::fuzz

// One function a parser, each in a file of its own name. C names, so that a libFuzzer build can rename
// one of them to the fuzzer's entry point.
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
}
