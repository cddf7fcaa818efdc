#pragma once

#include "admission/internal/contractstats.h"
#include "world/types/settlement.h"

#include <cstdint>
#include <vector>

namespace tarragon::admission::internal {

/// Names a request within its dispatcher; never used twice.
using request_number = std::uint64_t;

/// Names an attempt within its dispatcher; the last part of its attempt_id.
using attempt_number = std::uint64_t;

/// A subrequest that is not settled yet.
struct request_state {
  request_number Number = 0;
  subrequest Request;
  contract_stats *Stats = nullptr;
  time_point SubmittedAt;
  time_point Wake; ///< the moment of its timer
  bool Queued = false;
  bool Hedged = false;
  bool CrashedLately = false; ///< its fingerprint did, at this group
  std::vector<attempt_number> InFlight;
  std::vector<std::size_t> Tried; ///< targets not to be tried again, sorted
  settlement End;                 ///< what it would be settled with now
};

} // namespace tarragon::admission::internal
