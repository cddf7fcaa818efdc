#pragma once

#include "query/internal/querypart.h"
#include "world/types/coverage.h"

#include <vector>

namespace tarragon::query {

/// Counts the parts of one snapshot; the only place that does. A part still
/// pending is missing because its time ran out.
auto countCoverage(const std::vector<query_part> &Parts) -> coverage;

} // namespace tarragon::query
