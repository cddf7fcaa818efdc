#pragma once

#include "admission/internal/contractstats.h"
#include "world/types/settlement.h"

#include <cstdint>
#include <vector>

namespace tarragon::admission::internal {

/// Identifies a request within its dispatcher; never reused.
using request_number = std::uint64_t;

/// Identifies an attempt within its dispatcher; the last part of its
/// attempt_id.
using attempt_number = std::uint64_t;

/// A subrequest that is not settled yet.
struct request_state {
  request_number Number = 0;
  subrequest Request;
  contract_stats *Stats = nullptr;
  time_point SubmittedAt;
  time_point Wake; ///< when its timer fires
  bool Queued = false;
  bool Hedged = false;
  /// Whether its fingerprint recently crashed a target of this group.
  bool RecentlyCrashed = false;
  std::vector<attempt_number> InFlight;
  std::vector<std::size_t> Tried; ///< positions of targets to skip, sorted
  settlement Settlement;          ///< sent when the request is settled
};

} // namespace tarragon::admission::internal
