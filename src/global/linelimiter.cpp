#include "global/linelimiter.h"

#include <algorithm>
#include <utility>

namespace tarragon::log {

auto line_limiter::tryAcquire(const time_point Now, const double Reserved)
    -> bool {
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  const auto Capacity = static_cast<double>(LinesPerSecond);
  Tokens =
      std::min(Capacity, Tokens + std::max(0.0, Elapsed.count()) * Capacity);
  RefilledAt = Now;
  if (Tokens < 1 + Reserved) {
    ++Rejected;
    return false;
  }
  Tokens -= 1;
  return true;
}

auto line_limiter::takeRejected() -> std::uint64_t {
  return std::exchange(Rejected, 0);
}

} // namespace tarragon::log
