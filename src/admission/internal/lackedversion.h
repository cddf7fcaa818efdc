#pragma once

#include "global/types/time.h"
#include "world/types/heldversion.h"

namespace tarragon::admission::internal {

/// A version that a target refused, and how long to believe it.
struct lacked_version {
  held_version Version;
  time_point Until;
};

} // namespace tarragon::admission::internal
