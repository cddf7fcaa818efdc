#pragma once

#include "global/types/time.h"

namespace tarragon::store {

/// A token bucket that limits the rate of calls and the size of a burst.
/// Starts full. Reads no clock; not thread-safe.
class call_budget {
public:
  /// \p Capacity is the maximum burst, in calls; values below 1 count as 1.
  call_budget(double PerSecond, double Capacity, time_point Now);

  /// Consumes one token; returns false if none is left.
  auto tryAcquire(time_point Now) -> bool;

private:
  auto refill(time_point Now) -> void;

  double PerSecond;
  double Capacity;
  double Tokens;
  time_point RefilledAt;
};

} // namespace tarragon::store
