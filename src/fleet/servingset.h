#pragma once

#include "world/types/ids.h"

#include <vector>

namespace tarragon::fleet {

/// An instance that can serve callers.
struct serving_candidate {
  instance_id Id;
  failure_domain Domain;
  double Capacity = 0; ///< cores it is allowed to use
  double Load = 0;     ///< cores in use
};

/// Returns the instances that callers should use: those of the highest
/// capacity, spread over failure domains, as many as the load needs and at
/// least MinServing. The others stay in reserve and join when serving instances
/// are lost or the load grows.
///
/// With many instances of unequal capacity, a small serving set lets a query
/// use open connections and existing latency estimates, and divides the
/// targets' connections and the budgets among few instances. Instances with the
/// same view of the members choose the same set.
auto chooseServing(std::vector<serving_candidate> All)
    -> std::vector<instance_id>;

/// Minimum size of the serving set, unless fewer instances are live.
constexpr std::size_t MinServing = 6;

} // namespace tarragon::fleet
