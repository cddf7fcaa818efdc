#pragma once

#include "world/types/settlement.h"

namespace tarragon::admission {

/// The result of one attempt at a target.
struct attempt_result {
  attempt_id Attempt;
  attempt_outcome Outcome = attempt_outcome::NotSent;
  index_version Version = 0; ///< as echoed by the target
  std::size_t Shard = 0;     ///< as echoed by the target
  std::size_t ShardCount = 0;
  std::vector<item> Items;
  std::vector<held_version> Held; ///< empty if the target sent no list
};

} // namespace tarragon::admission
