#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstddef>
#include <string>
#include <tuple>

namespace tarragon {

/// Identifies one try of a query to get one shard: unique per root instance.
struct subrequest_id {
  std::uint64_t Query = 0;
  std::uint32_t Part = 0; ///< position among the query's shards
  std::uint32_t Try = 0;  ///< grows when the root asks again

  auto operator==(const subrequest_id &) const -> bool = default;

  auto operator<(const subrequest_id &Other) const -> bool {
    return std::tie(Query, Part, Try) <
           std::tie(Other.Query, Other.Part, Other.Try);
  }
};

/// What the root of a query asks of the dispatcher of a replica group.
struct subrequest {
  subrequest_id Id;
  instance_id Root;
  contract_id Contract;
  service_id Service;
  group_id Group;
  index_version Version = 0;
  std::size_t Shard = 0;
  std::size_t ShardCount = 0;
  std::size_t Limit = 0; ///< most items wanted; 0 is all
  std::string Body;      ///< opaque to the system
  fingerprint Fingerprint = 0;
  time_point Deadline; ///< of this process; sent as remaining time
  bool Repeatable = true;
  bool Suspect = false; ///< its fingerprint crashed a target before
  double HedgeBudget = 0.05;
};

} // namespace tarragon
