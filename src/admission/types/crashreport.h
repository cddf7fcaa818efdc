#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

namespace tarragon::admission {

/// A run of this request ended with the crash of this target.
struct crash_report {
  fingerprint Fingerprint = 0;
  target_id Target;
  bool Apart = true;   ///< ran as a suspect, or alone at the target
  milliseconds Age{0}; ///< how long ago it was seen first; told by a peer

  auto operator==(const crash_report &) const -> bool = default;
};

} // namespace tarragon::admission
