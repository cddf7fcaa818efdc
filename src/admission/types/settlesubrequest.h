#pragma once

#include "world/types/settlement.h"

namespace tarragon::admission {

/// Action: send the settlement of a subrequest to its coordinator. Issued
/// exactly once for each subrequest.
struct settle_subrequest {
  instance_id Coordinator;
  settlement Settlement;
};

} // namespace tarragon::admission
