#pragma once

#include "account/types/quotalimits.h"

#include <algorithm>

namespace tarragon::account {

/// How the tolerance of a quota, Overage x (rate x Window + burst) + Slack, is
/// divided. Capacity, Delay and Floors sum to at most 0.85 of it; the rest is a
/// margin: requests run a varying time after they are admitted, and timers fire
/// late.
struct quota_parts {
  /// Tokens of a full bucket with Delay and Floors, so that as many instances
  /// may admit a request at the same moment. With 18, 20 serving instances
  /// refused 0.044 of the requests of small accounts, with 18.3 0.035.
  static constexpr double MinUsable = 18.3;
  /// Most tokens beyond it that are moved from Delay to Start. With 4, calm
  /// accounts with a burst of 2 at 200 requests/s were refused 0.0053 of their
  /// requests, more than 1 in 200.
  static constexpr double MaxSpare = 2.5;

  /// Tokens of the bucket beyond the burst. They absorb what this instance
  /// counts too early (extrapolation) or too long (a silent peer's share).
  double Capacity = 0;
  /// Tokens that all instances together may admit beyond the level before
  /// their reports reach each other.
  double Delay = 0;
  /// Tokens for instances that each admit one request at the same moment, and
  /// for those that don't know the levels.
  double Floors = 0;
  /// Tokens that are left if all others were used just before all instances
  /// failed. At least one, as nothing is admitted with less.
  double Start = 1;

  static auto of(const quota_limits &Limits, const double Rate,
                 const double Burst) -> quota_parts {
    const double Window = std::chrono::duration<double>(Limits.Window).count();
    const double Tolerance =
        std::max(0.0, Limits.Overage * (Rate * Window + Burst) + Limits.Slack);
    const double Usable = Burst + 0.85 * Tolerance;
    const double Spare = std::clamp(Usable - MinUsable, 0.0, MaxSpare);
    return {0.3 * Tolerance, std::max(0.0, 0.4 * Tolerance - Spare),
            0.15 * Tolerance, std::max(1.0, 0.15 * Tolerance + Spare)};
  }
};

} // namespace tarragon::account
