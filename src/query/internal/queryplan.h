#pragma once

#include "query/internal/querypart.h"
#include "query/types/pinnedsnapshot.h"
#include "world/types/deployment.h"

#include <vector>

namespace tarragon::query {

/// The parts of a query in the order of services and shards: every shard of
/// \p Snapshot, or for ByKey the one of \p Key. Empty when a service isn't
/// deployed.
auto planParts(const deployment &Deployment, const contract &Contract,
               const std::string &Key, const pinned_snapshot &Snapshot,
               std::uint32_t FirstTry) -> std::vector<query_part>;

} // namespace tarragon::query
