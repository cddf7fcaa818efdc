#pragma once

#include "world/types/ids.h"

#include <cstddef>
#include <map>

namespace tarragon::query {

/// One index version with its own partition map.
struct pinned_snapshot {
  index_version Version = 0;
  std::map<service_id, std::size_t> ShardCounts;

  auto operator==(const pinned_snapshot &) const -> bool = default;
};

} // namespace tarragon::query
