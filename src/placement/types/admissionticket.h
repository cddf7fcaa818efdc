#pragma once

#include "global/types/time.h"

namespace tarragon::placement {

/// A part that waits for its answer.
struct admission_ticket {
  time_point OpenedAt;
  double Rounds = 1; ///< of the slots of its service until it has ended
};

} // namespace tarragon::placement
