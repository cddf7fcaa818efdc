#include "global/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace tarragon {

auto hash64(const std::string_view Text, const std::uint64_t Seed)
    -> std::uint64_t {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

auto contentHash(const std::string_view Content) -> std::string {
  constexpr std::size_t HexDigits = 32;
  const XXH128_hash_t Hash = XXH3_128bits(Content.data(), Content.size());
  std::array<char, HexDigits + 1> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return {Text.data(), HexDigits};
}

} // namespace tarragon
