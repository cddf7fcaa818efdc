#pragma once

#include "world/types/heldversion.h"
#include "world/types/target.h"

#include <vector>

namespace tarragon::admission::internal {

/// What this dispatcher knows of one target, all from its own attempts.
struct target_state {
  target Target;
  bool Listed = true; ///< in the configuration in force
  bool Leaving = false;
  int InFlight = 0;
  std::vector<held_version> Held; ///< empty when not told
};

} // namespace tarragon::admission::internal
