#pragma once

namespace tarragon::admission::internal {

/// Tokens for extra attempts, shared by hedges and retries, so that neither
/// multiplies an overload.
class hedge_budget {
public:
  /// Counts a first attempt, which earns \p PerAttempt tokens.
  auto earn(double PerAttempt) -> void;

  /// Takes the token of one extra attempt; false when there is none.
  auto take() -> bool;

  auto empty() const -> bool { return Tokens < 1; }

  static constexpr double Burst = 10;

private:
  double Tokens = Burst;
};

} // namespace tarragon::admission::internal
