#pragma once

namespace tarragon::gateway {

/// Number of serving instances, and whether this instance is one of them;
/// determines its share of resources that all instances use.
struct serving_state {
  int ServingInstances = 1; ///< instances announced to callers
  bool IsServing = true;    ///< whether this instance is one of them

  auto operator==(const serving_state &) const -> bool = default;
};

} // namespace tarragon::gateway
