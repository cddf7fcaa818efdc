#pragma once

#include "world/types/instance.h"
#include "world/types/service.h"

#include <optional>
#include <vector>

namespace tarragon::membership {

/// The instance that queues for \p Group, by rendezvous hash over the live
/// instances among \p Members (Live or Suspect, never Leaving or Dead),
/// preferring the failure domain that holds most of the group's targets.
/// A hint: two owners at once may cost refusals, never a promise.
auto ownerOf(const replica_group &Group, const std::vector<instance> &Members)
    -> std::optional<instance_id>;

} // namespace tarragon::membership
