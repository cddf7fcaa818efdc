#pragma once

#include "global/types/time.h"
#include "route/types/route.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tarragon::placement {

/// What a plan needs to know of its request.
struct plan_settings {
  std::vector<std::string> Services; ///< one a part
  std::size_t LeastParts = 1;        ///< of a success
  route::repeatability Repeat = route::repeatability::NonIdempotent;
  int Attempts = 1;    ///< each part
  time_point EarlyAt;  ///< from then on LeastParts are answer enough
  time_point Deadline; ///< of the final answer
};

} // namespace tarragon::placement
