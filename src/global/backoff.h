#pragma once

#include "global/types/time.h"

#include <cstdint>
#include <random>

namespace tarragon {

/// Exponential backoff with full jitter: the n-th delay is drawn evenly from
/// 0 to min(Longest, First * 2^n). Pure; its randomness comes from the seed.
class backoff {
public:
  backoff(milliseconds First, milliseconds Longest, std::uint64_t Seed);

  /// The delay before the next try; each call doubles the bound.
  auto next() -> milliseconds;

  /// Starts over after a success.
  auto reset() -> void { Bound = First; }

private:
  milliseconds First;
  milliseconds Longest;
  milliseconds Bound;
  std::mt19937_64 Random;
};

} // namespace tarragon
