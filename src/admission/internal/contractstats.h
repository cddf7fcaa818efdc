#pragma once

#include "admission/internal/latencyhistogram.h"

namespace tarragon::admission::internal {

/// Latency statistics of the attempts of one contract at targets that are not
/// slow.
class contract_stats {
public:
  /// Records the latency of an attempt, or a lower bound of it if the attempt
  /// was cancelled.
  auto record(microseconds Latency) -> void;

  /// Returns the moving mean of the latencies, or a default before the first.
  auto mean() const -> microseconds { return Mean; }

  /// Returns whether there are enough samples for decisions.
  auto hasEnoughSamples() const -> bool;

  /// Returns the latency beyond which an attempt counts as late.
  auto lateThreshold() const -> microseconds { return LateThreshold; }

  /// Returns the time before the deadline that an attempt needs to be worth
  /// starting.
  auto requiredTime() const -> microseconds { return RequiredTime; }

private:
  latency_histogram Histogram;
  microseconds Mean{5000};
  microseconds LateThreshold{0};
  microseconds RequiredTime{0};
  int SamplesUntilRefresh = 0;
};

} // namespace tarragon::admission::internal
