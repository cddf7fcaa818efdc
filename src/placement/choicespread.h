#pragma once

#include <cstdint>

namespace tarragon::placement {

/// Small deviations of costs, so that instances that hold the same news choose
/// differently at the same moment. The sequence depends on the seed only
/// (SplitMix64), and an instance needs nothing from the others.
class choice_spread {
public:
  explicit choice_spread(const std::uint64_t Seed) : State(Seed) {}

  /// Returns \p Cost, increased by up to MaxShare.
  auto apply(const double Cost) -> double {
    return Cost * (1 + MaxShare * nextShare());
  }

  /// A deviation that decides among similar costs, but not against a free slot.
  static constexpr double MaxShare = 0.3;

private:
  auto nextShare() -> double {
    State += 0x9e3779b97f4a7c15U;
    std::uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebU;
    Mixed ^= Mixed >> 31;
    return static_cast<double>(Mixed >> 11) * 0x1.0p-53;
  }

  std::uint64_t State;
};

} // namespace tarragon::placement
