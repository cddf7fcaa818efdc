#pragma once

namespace tarragon::placement {

/// How far the requests to a cold target may exceed the rate that it bears. In
/// any second at most rate x BurstFactor + Slack of them may arrive, summed
/// over all instances.
struct cold_limits {
  double BurstFactor = 1;
  double Slack = 0;

  auto operator==(const cold_limits &) const -> bool = default;
};

} // namespace tarragon::placement
