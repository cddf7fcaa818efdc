#pragma once

#include "placement/types/targethealthreport.h"

namespace tarragon::placement {

/// How a target of a service compares with its siblings for a new attempt.
struct target_assessment {
  target_health_report Health;
  bool IsHeldCold = false; ///< it is cold and has no token for this instance
  bool IsAvailable = true; ///< it may be chosen now
  /// Expected latency plus the expected cost of a refusal, in microseconds. The
  /// lowest is chosen, apart from a random deviation among reported loads.
  double CostUs = 0;
  /// Share of the choices in which it competes on equal terms.
  double ReturnShare = 1;
};

} // namespace tarragon::placement
