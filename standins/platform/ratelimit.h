#pragma once

#include "global/types/time.h"

namespace tarragon::standins {

/// Allows a number of calls a second, up to one second's worth at once.
class rate_limit {
public:
  /// \p PerSecond 0 allows everything.
  explicit rate_limit(double PerSecond);

  auto allow(time_point Now) -> bool;

private:
  double PerSecond;
  double Tokens;
  time_point Last;
};

} // namespace tarragon::standins
