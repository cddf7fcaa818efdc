#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tarragon::route {

/// Whether a request may run more than once.
enum class repeatability { Idempotent, NonIdempotent };

/// One part of a route's split and its share of the requests.
struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// Where the requests of one host and path prefix go.
struct route {
  std::string Name;
  std::string Host;
  std::string Prefix; ///< begins and ends with a slash
  repeatability Repeat = repeatability::NonIdempotent;
  milliseconds Timeout{0};   ///< the longest wait for an answer
  milliseconds Objective{0}; ///< an answer within it has its full worth
  int Attempts = 1;          ///< targets a request may be sent to, each shard
  int Priority = 0;          ///< 0 is the highest
  std::vector<weighted_service> Services; ///< empty on scattered routes
  std::vector<std::string> Shards;        ///< the shard set, or empty
  std::size_t TopRecords = 0;             ///< records of a merged answer
  double LeastShare = 1;                  ///< of the shards in a success

  auto scattered() const -> bool { return !Shards.empty(); }
};

} // namespace tarragon::route
