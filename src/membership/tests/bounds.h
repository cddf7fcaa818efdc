#pragma once

#include "membership/types/membershipsettings.h"

#include <algorithm>
#include <cmath>

namespace tarragon::membership::tests {

/// Returns the suspicion time of a table of \p Size members.
inline auto suspicionBound(const membership_settings &Settings,
                           const std::size_t Size) -> milliseconds {
  const double Log = std::log10(static_cast<double>(Size) + 1);
  return milliseconds(static_cast<milliseconds::rep>(
      static_cast<double>(Settings.SuspicionTime.count()) *
      std::max(1.0, Log)));
}

/// Returns the time for an update to reach all members: a period for each
/// doubling of the members that have it, and as many periods again for the last
/// few.
inline auto spreadBound(const membership_settings &Settings,
                        const std::size_t Size) -> milliseconds {
  const double Doublings = std::ceil(std::log2(static_cast<double>(Size) + 1));
  return Settings.ProbePeriod * static_cast<int>(2 * Doublings);
}

/// Returns the time from a death until all members see it: a member probes the
/// dead one, requests indirect probes, waits for a refutation and disseminates
/// the death.
inline auto deathBound(const membership_settings &Settings,
                       const std::size_t Size) -> milliseconds {
  constexpr int PeriodsToProbe = 4;
  constexpr int Timeouts = 3;
  return PeriodsToProbe * Settings.ProbePeriod +
         Timeouts * Settings.ProbeTimeout + suspicionBound(Settings, Size) +
         spreadBound(Settings, Size);
}

} // namespace tarragon::membership::tests
