#pragma once

#include "world/types/ids.h"

namespace tarragon::store {

/// What the platform says of a target; lagging.
struct target_state {
  target_id Id;
  bool Leaving = false;
};

} // namespace tarragon::store
