#pragma once

#include "store/types/targetstate.h"
#include "world/types/instance.h"

#include <vector>

namespace tarragon::store {

/// The instances and targets that the platform lists. The list lags behind
/// their actual state.
struct roster {
  std::vector<instance> Instances; ///< Live or Leaving; incarnation 0
  std::vector<target_state> Targets;
};

} // namespace tarragon::store
