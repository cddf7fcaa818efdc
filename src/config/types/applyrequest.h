#pragma once

#include "world/types/ids.h"

#include <optional>
#include <string>

namespace tarragon::config {

/// An operator's wish to put a file in force.
struct apply_request {
  std::string Text;
  std::string ChangeId; ///< chosen once by the operator's tool, kept on resend
  std::string Operator;
  team_id Team;            ///< empty: may change every team's objects
  config_version Base = 0; ///< the version the operator's plan rests on
};

} // namespace tarragon::config
