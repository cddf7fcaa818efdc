#pragma once

#include "world/types/ids.h"

#include <optional>
#include <string>

namespace tarragon::config {

/// An operator's request to put a file in force.
struct apply_request {
  std::string Text;
  /// Idempotency key, chosen by the operator's tool and kept when the request
  /// is sent again.
  std::string ChangeId;
  std::string Operator;
  team_id Team;            ///< empty: may change every team's objects
  config_version Base = 0; ///< the version that the operator's plan is based on
};

} // namespace tarragon::config
