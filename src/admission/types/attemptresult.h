#pragma once

#include "world/types/settlement.h"

namespace tarragon::admission {

/// How an exchange with a target ended.
struct attempt_result {
  attempt_id Attempt;
  attempt_outcome Outcome = attempt_outcome::NotSent;
  index_version Version = 0; ///< echoed
  std::size_t Shard = 0;     ///< echoed
  std::size_t ShardCount = 0;
  std::vector<item> Items;
  std::vector<held_version> Held; ///< empty when not told
};

} // namespace tarragon::admission
