#pragma once

#include "route/types/account.h"
#include "route/types/callerlimits.h"
#include "route/types/coldstart.h"
#include "route/types/route.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tarragon::route {

/// One accepted version of all routes. Each request uses a single version.
struct route_set {
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::map<std::string, int> MaxConnections; ///< per target, by service
  /// Bounds while a target is cold, by service; only services that have one.
  std::map<std::string, cold_start> ColdStarts;
  /// Client accounts; without a value, requests need no key.
  std::optional<std::vector<account>> Accounts;
  caller_limits Limits;
};

} // namespace tarragon::route
