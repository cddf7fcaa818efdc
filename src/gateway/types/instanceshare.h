#pragma once

namespace tarragon::gateway {

/// This instance's part in what all instances share.
struct instance_share {
  int Serving = 1;    ///< instances that are named to callers
  bool Serves = true; ///< this one is among them

  auto operator==(const instance_share &) const -> bool = default;
};

} // namespace tarragon::gateway
