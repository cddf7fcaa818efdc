#pragma once

#include "world/types/subrequest.h"
#include "world/types/target.h"

namespace tarragon::admission {

/// Action: send a subrequest to a target under a new attempt id.
struct start_attempt {
  attempt_id Attempt;
  target Target;
  subrequest Request;
};

} // namespace tarragon::admission
