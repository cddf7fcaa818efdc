#pragma once

#include "admission/internal/latencyhistogram.h"

namespace tarragon::admission::internal {

/// What attempts of one contract take at targets that are not slow.
class contract_stats {
public:
  /// Takes the latency of an attempt, or a lower bound when it was cancelled.
  auto record(microseconds Latency) -> void;

  /// The mean of recent latencies; an assumed one before the first.
  auto mean() const -> microseconds { return Mean; }

  /// Whether there are enough samples to rest decisions on.
  auto known() const -> bool;

  /// The delay that few attempts exceed; an attempt beyond it is late.
  auto lateAfter() const -> microseconds { return Late; }

  /// What an attempt should have left to be worth starting.
  auto needed() const -> microseconds { return Needed; }

private:
  latency_histogram Histogram;
  microseconds Mean{5000};
  microseconds Late{0};
  microseconds Needed{0};
  int UntilRefresh = 0;
};

} // namespace tarragon::admission::internal
