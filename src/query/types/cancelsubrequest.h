#pragma once

#include "world/types/subrequest.h"

namespace tarragon::query {

/// The query needs this shard no longer.
struct cancel_subrequest {
  subrequest_id Id;
  group_id Group;
};

} // namespace tarragon::query
