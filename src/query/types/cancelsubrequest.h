#pragma once

#include "world/types/subrequest.h"

namespace tarragon::query {

/// Action: cancel a subrequest whose result is no longer needed.
struct cancel_subrequest {
  subrequest_id Id;
  group_id Group;
};

} // namespace tarragon::query
