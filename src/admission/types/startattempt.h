#pragma once

#include "world/types/subrequest.h"
#include "world/types/target.h"

namespace tarragon::admission {

/// Send the subrequest to the target as this attempt.
struct start_attempt {
  attempt_id Attempt;
  target Target;
  subrequest Request;
};

} // namespace tarragon::admission
