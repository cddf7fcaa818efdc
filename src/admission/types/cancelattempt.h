#pragma once

#include "world/types/target.h"

namespace tarragon::admission {

/// Tell the target to stop this attempt; its slot counts until it ends.
struct cancel_attempt {
  attempt_id Attempt;
  target Target;
};

} // namespace tarragon::admission
