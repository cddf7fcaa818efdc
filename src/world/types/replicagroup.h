#pragma once

#include "world/types/target.h"

#include <vector>

namespace tarragon {

/// Targets that hold the same shards of every index version.
struct replica_group {
  group_id Id;
  std::vector<target> Targets;

  auto operator==(const replica_group &) const -> bool = default;
};

} // namespace tarragon
