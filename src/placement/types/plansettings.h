#pragma once

#include "global/types/time.h"
#include "route/types/route.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tarragon::placement {

/// The parameters of a request plan.
struct plan_settings {
  std::vector<std::string> Services; ///< one per part
  std::size_t MinParts = 1; ///< minimum of answered parts for a success
  route::repeatability Repeatability = route::repeatability::NonIdempotent;
  int MaxAttempts = 1; ///< maximum for each part
  time_point EarlyAt;  ///< from then on MinParts answered parts suffice
  time_point Deadline; ///< for the final answer
  int Priority = 0;    ///< 0 is the highest
};

} // namespace tarragon::placement
