#pragma once

namespace tarragon::gateway {

/// Input for this instance's share of resources that all instances use.
struct instance_share {
  int ServingInstances = 1; ///< instances announced to callers
  bool IsServing = true;    ///< whether this instance is one of them

  auto operator==(const instance_share &) const -> bool = default;
};

} // namespace tarragon::gateway
