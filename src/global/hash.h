#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tarragon {

/// A 64-bit hash (XXH3) that is equal in every process.
auto hash64(std::string_view Text, std::uint64_t Seed = 0) -> std::uint64_t;

/// A 128-bit hash (XXH3) in 32 hexadecimal digits, used to name contents.
auto contentHash(std::string_view Content) -> std::string;

} // namespace tarragon
