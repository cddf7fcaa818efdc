#pragma once

#include "store/types/listedtarget.h"
#include "world/types/instance.h"

#include <vector>

namespace tarragon::store {

/// The instances and targets that the platform lists. The list lags behind
/// their actual state.
struct roster {
  std::vector<instance> Instances; ///< Live or Leaving; incarnation 0
  std::vector<listed_target> Targets;
};

} // namespace tarragon::store
