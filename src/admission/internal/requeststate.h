#pragma once

#include "world/types/settlement.h"

#include <cstdint>
#include <vector>

namespace tarragon::admission::internal {

/// Names a request within its dispatcher; never used twice.
using request_number = std::uint64_t;

/// A subrequest that is not settled yet.
struct request_state {
  request_number Number = 0;
  subrequest Request;
  time_point SubmittedAt;
  time_point Wake; ///< the moment of its timer
  bool Queued = false;
  std::size_t InFlight = 0; ///< attempts without a result
  std::vector<std::size_t> Tried;
  settlement End; ///< what it would be settled with now
};

} // namespace tarragon::admission::internal
