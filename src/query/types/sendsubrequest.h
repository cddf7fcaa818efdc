#pragma once

#include "world/types/subrequest.h"

namespace tarragon::query {

/// Ask the dispatcher of the subrequest's group for one shard.
struct send_subrequest {
  subrequest Request;
};

} // namespace tarragon::query
