#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tarragon::route {

/// Whether a request may be executed more than once.
enum class repeatability { Idempotent, NonIdempotent };

/// A service of a route and its relative weight.
struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// The destination of the requests of one host and path prefix.
struct route {
  std::string Name;
  std::string Host;
  std::string Prefix; ///< begins and ends with a slash
  repeatability Repeatability = repeatability::NonIdempotent;
  milliseconds Timeout{0}; ///< maximum time to the answer
  milliseconds Objective{
      0};              ///< latency objective; later answers have less value
  int MaxAttempts = 1; ///< maximum of targets tried per shard
  int Priority = 0;    ///< 0 is the highest
  std::vector<weighted_service> Services; ///< empty on scattered routes
  std::vector<std::string> Shards; ///< the services of the shards, or empty
  std::size_t TopRecords = 0;      ///< maximum records in a merged answer
  double MinShardShare = 1;        ///< minimum share of shards in a success
  bool Public = false;             ///< served without a key of a client account

  /// Returns whether a request is sent to all shards.
  auto scattered() const -> bool { return !Shards.empty(); }
};

} // namespace tarragon::route
