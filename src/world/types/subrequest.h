#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstddef>
#include <string>
#include <tuple>

namespace tarragon {

/// Identifies one try of a query to get one shard's answer; unique per
/// coordinator.
struct subrequest_id {
  std::uint64_t Query = 0;
  std::uint32_t Part = 0; ///< index among the query's shards
  std::uint32_t Try = 0;  ///< incremented when the coordinator retries

  auto operator==(const subrequest_id &) const -> bool = default;

  auto operator<(const subrequest_id &Other) const -> bool {
    return std::tie(Query, Part, Try) <
           std::tie(Other.Query, Other.Part, Other.Try);
  }
};

/// The request of a query's coordinator to the dispatcher of a replica group.
struct subrequest {
  subrequest_id Id;
  instance_id Coordinator; ///< runs the query
  contract_id Contract;
  service_id Service;
  group_id Group;
  index_version Version = 0;
  std::size_t Shard = 0;
  std::size_t ShardCount = 0;
  std::size_t Limit = 0; ///< maximum number of items; 0: all
  std::string Body;      ///< opaque to the system
  fingerprint Fingerprint = 0;
  time_point Deadline; ///< by this process's clock; sent as remaining time
  bool Repeatable = true;
  bool Suspect = false; ///< its fingerprint has crashed a target before
  double HedgeBudget = 0.05;
  std::string Account; ///< name of the caller's account; empty: none
  int Priority = 0;    ///< 0: highest
};

} // namespace tarragon
