#pragma once

#include "world/types/ids.h"

namespace tarragon::admission {

/// A run of this request ended with the crash of this target.
struct crash_report {
  fingerprint Fingerprint = 0;
  target_id Target;

  auto operator==(const crash_report &) const -> bool = default;
};

} // namespace tarragon::admission
