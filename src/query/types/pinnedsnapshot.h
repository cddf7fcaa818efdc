#pragma once

#include "world/types/ids.h"

#include <cstddef>
#include <map>

namespace tarragon::query {

/// An index version and the number of shards of each service in it.
struct pinned_snapshot {
  index_version Version = 0;
  std::map<service_id, std::size_t> ShardCounts;
  bool Likely = false; ///< not known to be held by all groups; not compared

  auto operator==(const pinned_snapshot &Other) const -> bool {
    return Version == Other.Version && ShardCounts == Other.ShardCounts;
  }
};

} // namespace tarragon::query
