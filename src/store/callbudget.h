#pragma once

#include "global/types/time.h"

namespace tarragon::store {

/// A token bucket: a steady rate of calls with a bounded burst. Starts full.
/// Pure; the caller locks.
class call_budget {
public:
  /// \p Capacity is the most calls at once; at least one.
  call_budget(double PerSecond, double Capacity, time_point Now);

  /// Takes one call out of the budget; false when it is used up.
  auto take(time_point Now) -> bool;

private:
  auto refill(time_point Now) -> void;

  double PerSecond;
  double Capacity;
  double Tokens;
  time_point Filled;
};

} // namespace tarragon::store
