#pragma once

#include "global/types/time.h"

namespace tarragon {

/// What one target takes from all instances together.
struct target_limits {
  int Slots = 4;        ///< requests that run at once
  int Connections = 40; ///< open connections
  microseconds ConnectCost{1000};

  auto operator==(const target_limits &) const -> bool = default;
};

} // namespace tarragon
