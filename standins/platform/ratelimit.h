#pragma once

#include "global/types/time.h"

namespace tarragon::standins {

/// A token bucket whose burst is one second's worth of calls.
class rate_limit {
public:
  /// A \p PerSecond of 0 sets no limit.
  explicit rate_limit(double PerSecond);

  /// Takes a token; returns false if there is none.
  auto allow(time_point Now) -> bool;

private:
  double PerSecond;
  double Tokens;
  time_point Last;
};

} // namespace tarragon::standins
