#pragma once

#include "account/types/quotalimits.h"
#include "gateway/types/headernames.h"
#include "placement/retrybudget.h"
#include "placement/types/coldlimits.h"

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
  /// Set where the load of cold targets is bounded.
  std::optional<placement::cold_limits> ColdLimits;
  std::string CallerAddress;   ///< of this instance
  bool IsOnlyInstance = false; ///< there can be no other
};

} // namespace tarragon::gateway
