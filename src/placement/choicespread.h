#pragma once

#include <cstdint>
#include <random>

namespace tarragon::placement {

/// Small deviations of costs, so that instances that hold the same news choose
/// differently at the same moment. The sequence depends on the seed only, and
/// an instance needs nothing from the others.
class choice_spread {
public:
  explicit choice_spread(const std::uint64_t Seed)
      : Engine(static_cast<std::minstd_rand::result_type>(Seed)) {}

  /// Returns \p Cost, increased by up to MaxShare times \p Scale.
  auto apply(const double Cost, const double Scale) -> double {
    return Cost * (1 + Scale * Share(Engine));
  }

  /// A deviation that decides among similar costs, but not against a free slot.
  static constexpr double MaxShare = 0.3;

private:
  std::minstd_rand Engine;
  std::uniform_real_distribution<> Share{0, MaxShare};
};

} // namespace tarragon::placement
