#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstdint>

namespace tarragon::admission {

/// A run of a request that a crash of its target interrupted.
struct crashed_run {
  fingerprint Request = 0;
  target_id Target;
  /// Start of the target's incarnation, in milliseconds since the Unix epoch.
  std::int64_t StartedAtMs = 0;
  time_point SentAt;
  time_point EndedAt;
};

} // namespace tarragon::admission
