#pragma once

#include "global/types/time.h"

namespace tarragon {

/// The capacity of one target, shared by all instances.
struct target_limits {
  int Slots = 4;        ///< maximum number of concurrent requests
  int Connections = 40; ///< maximum number of open connections
  microseconds ConnectCost{1000};

  auto operator==(const target_limits &) const -> bool = default;
};

} // namespace tarragon
