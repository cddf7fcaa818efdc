#pragma once

#include "world/types/ids.h"

#include <cstddef>
#include <map>

namespace tarragon::query {

/// One index version with its own partition map.
struct pinned_snapshot {
  index_version Version = 0;
  std::map<service_id, std::size_t> ShardCounts;
  bool Likely = false; ///< some group isn't known to hold it; not compared

  auto operator==(const pinned_snapshot &Other) const -> bool {
    return Version == Other.Version && ShardCounts == Other.ShardCounts;
  }
};

} // namespace tarragon::query
