#pragma once

#include "world/types/ids.h"

#include <cstdint>

namespace tarragon::admission {

/// Owner: this instance queues for the group and may fill every slot.
/// Guest: another instance owns it; a small share must do.
enum class dispatcher_role { Owner, Guest };

/// Where and as what a dispatcher runs.
struct dispatcher_settings {
  instance_id Instance;
  incarnation Incarnation = 0;
  failure_domain Domain;
  int MostInstances = 8; ///< connections of a target are shared by so many
  std::uint64_t Seed = 0;
};

} // namespace tarragon::admission
