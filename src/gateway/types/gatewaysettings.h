#pragma once

#include "account/types/quotalimits.h"
#include "gateway/types/headernames.h"
#include "placement/retrybudget.h"

#include <optional>
#include <string>

namespace tarragon::gateway {

/// Settings a gateway is constructed with.
struct gateway_settings {
  header_names Names;
  std::string FailureDomain;
  placement::retry_limits Retries;
  /// Set where client accounts have quotas.
  std::optional<account::quota_limits> Quota;
};

} // namespace tarragon::gateway
