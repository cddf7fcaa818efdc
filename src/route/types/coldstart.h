#pragma once

#include "global/types/time.h"

namespace tarragon::route {

/// The load that a cold target of a service bears.
struct cold_start {
  double RequestsPerSecond = 0; ///< over all instances
  milliseconds Duration{0};     ///< after a start

  auto operator==(const cold_start &) const -> bool = default;
};

} // namespace tarragon::route
