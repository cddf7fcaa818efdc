#pragma once

#include "world/types/replicagroup.h"
#include "world/types/targetlimits.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tarragon {

/// A service that holds part of an index, with its targets. Shard s of any
/// index version is held by group s mod Groups.size().
struct service {
  service_id Id;
  team_id Team;
  std::string Index; ///< index versions are compared within one index only
  target_limits Limits;
  std::vector<replica_group> Groups;

  auto operator==(const service &) const -> bool = default;

  /// Returns the group that holds \p Shard. Requires at least one group.
  auto groupOf(const std::size_t Shard) const -> const replica_group & {
    return Groups[Shard % Groups.size()];
  }
};

} // namespace tarragon
