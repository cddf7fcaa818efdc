#pragma once

#include "world/types/ids.h"

#include <cstddef>
#include <vector>

namespace tarragon::account {

/// The instances that share the quotas, identified by their peer addresses.
struct quota_peers {
  address Self;
  std::vector<address> Serving; ///< excludes this instance
  bool IsServing = false;       ///< whether this instance is one of them
  std::size_t Live = 1;         ///< all instances, this one included
  bool IsAlone = false;         ///< no other instance can exist

  auto operator==(const quota_peers &) const -> bool = default;
};

} // namespace tarragon::account
