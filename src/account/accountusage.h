#pragma once

#include "account/quotaparts.h"
#include "account/sharedbucket.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::account {

/// The usage of one account with a limit, as one instance knows it.
struct account_usage {
  /// The usage that a peer reported.
  struct peer_count {
    std::uint32_t Peer = 0; ///< quota_group::peer::Number
    std::uint64_t Count = 0;
    double Rate = 0; ///< smoothed, per second, at \c At
    time_point At;   ///< of the last report with a change
  };

  std::string Name;
  quota_parts Parts;
  shared_bucket Bucket;
  std::uint64_t Count = 0;    ///< admitted here and not refunded
  std::uint64_t Reported = 0; ///< Count in the last report
  std::uint64_t Refused = 0;
  /// Smoothed, per second, at OwnRateAt; only what the peers know of.
  double OwnRate = 0;
  time_point OwnRateAt;
  std::uint64_t Round = 0; ///< in which the next two were taken
  std::uint64_t CountAtRound = 0;
  std::uint64_t CountAtPreviousRound = 0;
  std::uint64_t FloorCount = 0;   ///< admitted while the levels are unknown
  std::uint64_t FloorRefused = 0; ///< meanwhile
  time_point FloorAt;             ///< when the floor has its next token
  std::vector<peer_count> Peers;
};

} // namespace tarragon::account
