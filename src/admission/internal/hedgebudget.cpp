#include "admission/internal/hedgebudget.h"

#include <algorithm>

namespace tarragon::admission::internal {

auto hedge_budget::earn(const double PerAttempt) -> void {
  Tokens = std::min(Burst, Tokens + std::clamp(PerAttempt, 0.0, 1.0));
}

auto hedge_budget::take() -> bool {
  if (empty())
    return false;
  Tokens -= 1;
  return true;
}

} // namespace tarragon::admission::internal
