#pragma once

#include "global/types/time.h"

#include <json/forwards.h>

namespace tarragon::gateway {

class gateway;

/// Returns the state of \p Gateway as JSON for operators: version of the
/// routes, observed latencies of each route, health state of each target and
/// why it is not used, remaining budgets of extra attempts, the reported
/// crashes with the quarantined requests, and the client accounts.
auto viewStatus(gateway &Gateway, time_point Now) -> Json::Value;

} // namespace tarragon::gateway
