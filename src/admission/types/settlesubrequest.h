#pragma once

#include "world/types/settlement.h"

namespace tarragon::admission {

/// Tell the root how its subrequest ended. Comes exactly once for each.
struct settle_subrequest {
  instance_id Root;
  settlement Settlement;
};

} // namespace tarragon::admission
