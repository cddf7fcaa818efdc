#pragma once

#include "global/types/time.h"

#include <array>
#include <cstdint>

namespace tarragon::placement {

/// The purpose of an extra attempt. Hedges are denied before retries.
enum class extra_purpose {
  Hedge, ///< an earlier attempt may still be answered
  Retry  ///< the earlier attempt ended without an answer
};

/// The limits on extra attempts at one service across all instances.
struct retry_limits {
  double Ratio = 0.2; ///< extra attempts per request
  double Slack = 0;   ///< additional attempts per window, all instances
  milliseconds Window{10000};
  int Instances = 1; ///< instances that share the slack

  auto operator==(const retry_limits &) const -> bool = default;
};

/// The retries that are left at one service.
struct spare_retries {
  double Share = 0; ///< of those allowed in the window, from 0 to 1
  double Steps = 0; ///< in units for which the price falls by e
};

/// This instance's share of the extra attempts at one service.
///
/// Hedges get only what recent retries leave: when targets shed requests, a
/// retry adds a part that would be missing, while a hedge only makes one
/// arrive earlier. The limits hold over every sliding window, also across
/// restarts: a restarted instance has lost its counts, so the slack of a
/// recently started instance grows with its uptime. Not thread-safe.
class retry_budget {
public:
  retry_budget(retry_limits Limits, time_point StartedAt);

  auto setLimits(retry_limits NewLimits) -> void { Limits = NewLimits; }

  /// Records a request for the service.
  auto addRequest(time_point Now) -> void;

  /// Reserves one extra attempt; returns false if the budget is exhausted.
  auto tryAcquire(extra_purpose Purpose, time_point Now) -> bool;

  /// Records a retry that was wanted, but not tried to acquire.
  auto recordForgoneRetry(time_point Now) -> void {
    currentSlice(Now).RetriesRequested += 1;
  }

  /// Returns the remaining share of the allowance for \p Purpose, from 0 to 1.
  auto remainingShare(extra_purpose Purpose, time_point Now) const -> double;

  /// Returns what is left for the decision whether a retry is worthwhile. While
  /// more are wanted than allowed, the slack is spread over the window rather
  /// than spent by the first ones.
  auto spare(time_point Now) const -> spare_retries;

  /// Returns whether enough requests show how many retries are wanted.
  auto isDemandKnown(time_point Now) const -> bool;

  /// Records an attempt, and the end of one that the target refused.
  auto addAttempt(time_point Now) -> void { currentSlice(Now).Attempts += 1; }
  auto addRefusal(time_point Now) -> void { currentSlice(Now).Refusals += 1; }

  /// Returns the share of recent attempts that were refused; \p Prior is the
  /// estimate without any.
  auto refusedShare(double Prior, time_point Now) const -> double;

private:
  static constexpr std::size_t SliceCount = 20;
  struct slice {
    std::int64_t Number = -1;
    double Requests = 0;
    double Extra = 0;
    double RetriesRequested = 0; ///< including denied ones
    double Attempts = 0;
    double Refusals = 0;
  };
  struct window_sums {
    double Requests = 0;
    double Extra = 0;
    double RetriesRequested = 0;
    double FilledShare = 0; ///< of the window, since its first request
  };

  auto currentSlice(time_point Now) -> slice &;
  auto sumWindow(time_point Now) const -> window_sums;
  auto sliceNumber(time_point Now) const -> std::int64_t;
  auto allowance(extra_purpose Purpose, const window_sums &Sums,
                 time_point Now) const -> double;
  auto grownSlack(time_point Now) const -> double;

  retry_limits Limits;
  time_point StartedAt;
  std::array<slice, SliceCount + 1> Ring;
};

} // namespace tarragon::placement
