#pragma once

#include "world/types/instance.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragon::entry {

/// One member as this instance observes it.
struct member_status {
  instance Instance;
  config_version Config = 0;
  /// Source of the configuration version: "self", "never heard" or
  /// "heard 120ms ago".
  std::string VersionSource;
};

/// Status of an instance and the members it observes.
struct entry_status {
  instance_id Instance;
  config_version Config = 0;
  std::string RefusalReason; ///< why a newer configuration is not in force
  bool Draining = false;
  bool ReachesPlatform = false;
  bool ReachesPeers = false;
  std::vector<member_status> Members;
};

} // namespace tarragon::entry
