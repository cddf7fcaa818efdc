#pragma once

namespace tarragon::admission::internal {

/// A token bucket for extra attempts. Hedges and retries share it, so that
/// neither amplifies an overload.
class extra_attempt_budget {
public:
  /// Records a first attempt, which adds \p TokensPerAttempt tokens (0 to 1).
  auto deposit(double TokensPerAttempt) -> void;

  /// Withdraws the token for one extra attempt. Returns false if there is none.
  auto tryWithdraw() -> bool;

  auto empty() const -> bool { return Tokens < 1; }

  static constexpr double Burst = 10;

private:
  double Tokens = Burst;
};

} // namespace tarragon::admission::internal
