#pragma once

#include "world/types/settlement.h"

#include <cstdint>
#include <vector>

namespace tarragon::query {

enum class part_state { Pending, Answered, Failed };

/// The state of one shard of a query's snapshot.
struct query_part {
  service_id Service;
  group_id Group;
  std::size_t Shard = 0;
  std::size_t ShardCount = 0;
  std::uint32_t Try = 0;
  part_state State = part_state::Pending;
  attempt_outcome Reason = attempt_outcome::Expired; ///< set if Failed
  bool MayHaveRun = false; ///< some settled try isn't proven not run
  bool RetriedAfterCrash = false;
  bool RetriedAfterLoss = false;
  std::vector<item> Items;
};

} // namespace tarragon::query
