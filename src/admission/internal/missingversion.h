#pragma once

#include "global/types/time.h"
#include "world/types/heldversion.h"

namespace tarragon::admission::internal {

/// A version that a target refused as missing, and when that record expires.
struct missing_version {
  held_version Version;
  time_point Until;
};

} // namespace tarragon::admission::internal
