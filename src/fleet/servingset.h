#pragma once

#include "world/types/ids.h"

#include <vector>

namespace tarragon::fleet {

/// An instance that could serve callers.
struct serving_candidate {
  instance_id Id;
  failure_domain Domain;
  double Capacity = 0; ///< cores it may use
  double Load = 0;     ///< cores it uses
};

/// Which instances are named to callers: the strongest, spread over failure
/// domains, as many as the load needs and never fewer than a few. The others
/// stay in reserve and join when some are lost or the load grows.
///
/// Answers the load "many unequal instances": a query meets connections that
/// are open and latencies that were learned, and the targets' connections and
/// the budgets are shared by few. All instances choose alike from what they
/// know of each other.
auto chooseServing(std::vector<serving_candidate> All)
    -> std::vector<instance_id>;

/// Fewer are named only when fewer live.
constexpr std::size_t FewestServing = 6;

} // namespace tarragon::fleet
