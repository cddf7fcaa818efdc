#pragma once

#include "global/types/time.h"

#include <cmath>

namespace tarragon::account::internal {

using seconds = std::chrono::duration<double>;

/// Of the estimates of rates: a few reports.
constexpr seconds RateMemory{0.4};
/// A joining instance has heard all connected peers within it, unless two
/// reports in a row were lost.
constexpr milliseconds LearnTime{400};

/// Instances that start together and find that none of them knows the levels
/// start with empty buckets after it.
constexpr milliseconds StartTime{600};

/// Returns the part of a smoothed rate that is left after \p Age.
inline auto decay(const std::chrono::steady_clock::duration Age) -> double {
  return std::exp(-seconds(Age) / RateMemory);
}

} // namespace tarragon::account::internal
