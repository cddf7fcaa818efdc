#pragma once

#include "query/internal/querypart.h"
#include "query/types/pinnedsnapshot.h"
#include "world/types/deployment.h"

#include <vector>

namespace tarragon::query {

/// Returns the parts of a query in the order of services and shards: all
/// shards of \p Snapshot, or for ByKey contracts the shard of \p Key in each
/// service. Empty if a service isn't deployed.
auto planParts(const deployment &Deployment, const contract &Contract,
               const std::string &Key, const pinned_snapshot &Snapshot,
               std::uint32_t FirstTry) -> std::vector<query_part>;

} // namespace tarragon::query
