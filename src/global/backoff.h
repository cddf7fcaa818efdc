#pragma once

#include "global/types/time.h"

#include <cstdint>
#include <random>

namespace tarragon {

/// Exponential backoff with full jitter: the n-th delay (from n = 0) is drawn
/// evenly from 0 to min(MaxDelay, InitialBound * 2^n). Deterministic for a
/// given seed.
class backoff {
public:
  backoff(milliseconds InitialBound, milliseconds MaxDelay, std::uint64_t Seed);

  /// Returns the delay before the next attempt and doubles the bound.
  auto next() -> milliseconds;

  /// Restores the initial bound. Called after a success.
  auto reset() -> void { Bound = InitialBound; }

private:
  milliseconds InitialBound;
  milliseconds MaxDelay;
  milliseconds Bound;
  std::mt19937_64 Random;
};

} // namespace tarragon
