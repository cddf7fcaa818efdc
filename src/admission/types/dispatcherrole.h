#pragma once

#include "world/types/ids.h"

#include <cstdint>

namespace tarragon::admission {

/// The role of this instance for a replica group.
///
/// Owner: this instance queues the requests for the group and may fill every
/// slot. NonOwner: another instance owns the group, so this one is limited to a
/// small share of the slots.
enum class dispatcher_role { Owner, NonOwner };

/// Identity, failure domain and limits of a dispatcher.
struct dispatcher_settings {
  instance_id Instance;
  incarnation Incarnation = 0;
  failure_domain Domain;
  int MaxInstances = 8; ///< that share the connections of a target
  std::uint64_t Seed = 0;
};

} // namespace tarragon::admission
