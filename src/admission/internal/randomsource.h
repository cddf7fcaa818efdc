#pragma once

#include <cstdint>

namespace tarragon::admission::internal {

/// A small pseudo-random number generator with reproducible output
/// (SplitMix64).
class random_source {
public:
  explicit random_source(const std::uint64_t Seed) : State(Seed) {}

  auto next() -> std::uint64_t {
    State += 0x9e3779b97f4a7c15U;
    std::uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebU;
    return Mixed ^ (Mixed >> 31);
  }

  /// Returns a uniform number in [0, \p Bound); \p Bound must not be 0.
  auto below(const std::uint64_t Bound) -> std::uint64_t {
    return next() % Bound;
  }

  /// Returns a uniform number in [0, 1).
  auto uniform() -> double {
    return static_cast<double>(next() >> 11) * 0x1p-53;
  }

private:
  std::uint64_t State;
};

} // namespace tarragon::admission::internal
