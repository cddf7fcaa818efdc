#pragma once

#include "route/types/route.h"

#include <map>
#include <string>
#include <vector>

namespace tarragon::route {

/// Splits the requests of a route over its services. Each service gets its
/// share of any run of requests to within one request, so that shares hold
/// also over short spans and over many instances. Not locked.
class weighted_turns {
public:
  /// The index of the next service of \p Route; at least one has weight.
  auto next(const route &Route) -> std::size_t;

private:
  struct state {
    std::vector<double> Weights;
    std::vector<double> Credit;
  };
  std::map<std::string, state> Routes; ///< by name
};

} // namespace tarragon::route
