#include "admission/internal/extraattemptbudget.h"

#include <algorithm>

namespace tarragon::admission::internal {

auto extra_attempt_budget::deposit(const double TokensPerAttempt) -> void {
  Tokens = std::min(Burst, Tokens + std::clamp(TokensPerAttempt, 0.0, 1.0));
}

auto extra_attempt_budget::tryWithdraw() -> bool {
  if (empty())
    return false;
  Tokens -= 1;
  return true;
}

} // namespace tarragon::admission::internal
