#pragma once

#include "world/types/subrequest.h"

namespace tarragon::query {

/// Action: send a subrequest for one shard to the dispatcher of its group.
struct send_subrequest {
  subrequest Request;
};

} // namespace tarragon::query
