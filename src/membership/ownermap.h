#pragma once

#include "world/types/instance.h"
#include "world/types/service.h"

#include <optional>
#include <vector>

namespace tarragon::membership {

/// Returns the group owner of \p Group, the instance that queues its
/// subrequests: by rendezvous hashing over the Live and Suspect instances among
/// \p Members, preferring the failure domain with most of the group's targets.
/// The result is a hint: two owners at once may cause refusals by targets, but
/// break no guarantee.
auto ownerOf(const replica_group &Group, const std::vector<instance> &Members)
    -> std::optional<instance_id>;

} // namespace tarragon::membership
