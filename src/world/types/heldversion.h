#pragma once

#include "world/types/ids.h"

#include <cstddef>

namespace tarragon {

/// An index version that a target holds, and the number of shards of the
/// target's service in that version.
struct held_version {
  index_version Version = 0;
  std::size_t ShardCount = 0;

  auto operator==(const held_version &) const -> bool = default;
};

} // namespace tarragon
