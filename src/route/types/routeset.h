#pragma once

#include "route/types/callerlimits.h"
#include "route/types/route.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tarragon::route {

/// One accepted version of all routes. Each request uses a single version.
struct route_set {
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::map<std::string, int> MaxConnections; ///< per target, by service
  caller_limits Limits;
};

} // namespace tarragon::route
