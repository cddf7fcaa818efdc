#include "store/callbudget.h"

#include <algorithm>

namespace tarragon::store {

call_budget::call_budget(const double PerSecond, const double Capacity,
                         const time_point Now)
    : PerSecond(PerSecond), Capacity(std::max(Capacity, 1.0)),
      Tokens(this->Capacity), RefilledAt(Now) {}

auto call_budget::tryAcquire(const time_point Now) -> bool {
  refill(Now);
  if (Tokens < 1.0)
    return false;
  Tokens -= 1.0;
  return true;
}

auto call_budget::refill(const time_point Now) -> void {
  if (Now <= RefilledAt)
    return;
  const std::chrono::duration<double> Elapsed = Now - RefilledAt;
  Tokens = std::min(Capacity, Tokens + Elapsed.count() * PerSecond);
  RefilledAt = Now;
}

} // namespace tarragon::store
