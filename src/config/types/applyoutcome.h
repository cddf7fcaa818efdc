#pragma once

#include "global/resultcode.h"
#include "world/types/ids.h"

#include <string>
#include <vector>

namespace tarragon::config {

/// What became of an operator's change. NotAccepted with another code than
/// ConfigConflict speaks of one call only: when an earlier call with the same
/// change id ended as Unknown, the change stays Unknown.
enum class apply_state { Accepted, NotAccepted, Unknown };

struct apply_outcome {
  apply_state State = apply_state::Unknown;
  result_code Code = result_code::ConfigOutcomeUnknown;
  config_version Version = 0; ///< Accepted: its version; else the one seen
  std::string Detail;
  std::string Winner; ///< ConfigConflict: the operator accepted instead
  std::vector<std::string> Differences; ///< ConfigConflict: theirs to ours
};

} // namespace tarragon::config
