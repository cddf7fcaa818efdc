#pragma once

#include <optional>
#include <string>
#include <vector>

namespace tarragon::route {

/// A client account of one version of the configuration: who may send requests
/// and how many.
struct account {
  std::string Name;
  std::vector<std::string> Keys; ///< never logged, reported or forwarded
  std::optional<int> Priority;   ///< overrides that of the route; 0: highest
  double RatePerSecond = 0;      ///< requests over all instances; 0: no limit
  double Burst = 0;              ///< requests beyond the rate

  auto operator==(const account &) const -> bool = default;
};

} // namespace tarragon::route
