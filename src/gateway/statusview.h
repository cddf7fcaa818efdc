#pragma once

#include "global/types/time.h"

#include <json/forwards.h>

namespace tarragon::gateway {

class gateway;

/// What \p Gateway has in force and believes, for those on call: version,
/// routes with learned latencies, targets and why each is left alone, budgets
/// of extra attempts, requests held since they crash targets.
auto viewStatus(gateway &Gateway, time_point Now) -> Json::Value;

} // namespace tarragon::gateway
