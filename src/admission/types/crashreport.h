#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstdint>

namespace tarragon::admission {

/// The crash of a target during a run of a request.
struct crash_report {
  fingerprint Fingerprint = 0;
  target_id Target;
  bool Isolated = true; ///< ran as a suspect, or alone at the target
  /// Time since the first observation, set by the peer that sends the report.
  milliseconds Age{0};
  /// Start of the target's incarnation, in milliseconds since the Unix epoch; 0
  /// if unknown. A target that crashes again after a restart counts again.
  std::int64_t StartedAtMs = 0;

  auto operator==(const crash_report &) const -> bool = default;
};

} // namespace tarragon::admission
