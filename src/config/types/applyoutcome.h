#pragma once

#include "global/resultcode.h"
#include "world/types/ids.h"

#include <string>
#include <vector>

namespace tarragon::config {

/// The outcome of an operator's change. NotAccepted with a code other than
/// ConfigConflict applies to one call only: when an earlier call with the same
/// change id returned Unknown, the change stays Unknown.
enum class apply_state { Accepted, NotAccepted, Unknown };

struct apply_outcome {
  apply_state State = apply_state::Unknown;
  result_code Code = result_code::ConfigOutcomeUnknown;
  /// Accepted: the new version; else the newest one known to be in force.
  config_version Version = 0;
  std::string Detail;
  std::string Winner; ///< ConfigConflict: operator of the accepted change
  /// ConfigConflict: from the configuration in force to the requested one.
  std::vector<std::string> Differences;
};

} // namespace tarragon::config
