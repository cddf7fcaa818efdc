#pragma once

#include "route/types/route.h"

#include <map>
#include <string>
#include <vector>

namespace tarragon::route {

/// Splits the requests of a route over its services by smooth weighted round
/// robin. The count of each service stays within about one request of its
/// share, so that the shares also hold over short spans and across many
/// instances. Not thread-safe.
class weighted_round_robin {
public:
  /// Returns the index of the next service of \p Route. At least one service
  /// must have a positive weight.
  auto next(const route &Route) -> std::size_t;

private:
  struct state {
    std::vector<double> Weights;
    std::vector<double> Credit;
  };
  std::map<std::string, state> Routes; ///< by name
};

} // namespace tarragon::route
