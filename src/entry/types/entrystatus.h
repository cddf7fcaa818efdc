#pragma once

#include "world/types/instance.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragon::entry {

/// What an instance knows of one member.
struct member_status {
  instance Instance;
  config_version Config = 0;
  std::string How; ///< how the version is known: "self", "heard 120ms ago"
};

/// What an instance says of itself and its peers.
struct entry_status {
  instance_id Instance;
  config_version Config = 0;
  std::string Refused; ///< why a newer configuration is not in force here
  bool Draining = false;
  bool ReachesPlatform = false;
  bool ReachesPeers = false;
  std::vector<member_status> Members;
};

} // namespace tarragon::entry
