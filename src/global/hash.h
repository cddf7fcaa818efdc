#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragon {

/// Returns a 64-bit hash (XXH3), which is the same in every process.
auto hash64(std::string_view Text, std::uint64_t Seed = 0) -> std::uint64_t;

/// Returns a 128-bit hash (XXH3) as 32 hexadecimal digits, used to address
/// objects by their content. Not cryptographic.
auto contentHash(std::string_view Content) -> std::string;

} // namespace tarragon
