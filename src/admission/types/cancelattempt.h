#pragma once

#include "world/types/target.h"

namespace tarragon::admission {

/// Action: cancel an attempt at its target. The attempt occupies its slot until
/// its result arrives or the cancellation times out.
struct cancel_attempt {
  attempt_id Attempt;
  target Target;
};

} // namespace tarragon::admission
