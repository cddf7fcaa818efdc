#pragma once

#include "global/types/time.h"
#include "standins/httpserver.h"
#include "world/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace tarragon::standins {

/// A run of a request.
struct target_run {
  attempt_id Attempt;
  std::string Body;
  service_id Service;
  std::size_t Shard = 0;
  std::size_t ShardCount = 0;
  index_version Version = 0;
  std::size_t Limit = 0;
  bool Repeatable = true;
  microseconds Planned{0};
  time_point Started;
  time_point Deadline;
};

} // namespace tarragon::standins
