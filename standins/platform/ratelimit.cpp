#include "standins/platform/ratelimit.h"

#include <algorithm>

namespace tarragon::standins {

rate_limit::rate_limit(const double PerSecond)
    : PerSecond(PerSecond), Tokens(PerSecond) {}

auto rate_limit::allow(const time_point Now) -> bool {
  if (PerSecond <= 0)
    return true;
  const std::chrono::duration<double> Elapsed = Now - Last;
  Last = Now;
  Tokens = std::min(PerSecond, Tokens + Elapsed.count() * PerSecond);
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace tarragon::standins
