#pragma once

#include "store/types/targetstate.h"
#include "world/types/instance.h"

#include <vector>

namespace tarragon::store {

/// The platform's lagging list of instances and targets.
struct roster {
  std::vector<instance> Instances; ///< Live or Leaving; incarnation 0
  std::vector<target_state> Targets;
};

} // namespace tarragon::store
