#pragma once

#include "gateway/types/headernames.h"
#include "placement/retrybudget.h"

#include <string>

namespace tarragon::gateway {

/// Settings a gateway is constructed with.
struct gateway_settings {
  header_names Names;
  std::string FailureDomain;
  placement::retry_limits Retries;
};

} // namespace tarragon::gateway
