#pragma once

#include "global/types/time.h"
#include "world/types/heldversion.h"
#include "world/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::standins {

/// Settings of the target stand-in, one per flag.
struct target_settings {
  address Listen;
  target_id Id;
  service_id Service;
  std::size_t GroupIndex = 0;
  std::size_t Groups = 1;
  std::size_t Slots = 5;
  std::size_t Connections = 40;
  microseconds ConnectCost{0}; ///< delay of a connection's first request
  microseconds ServiceMean{10000};
  double ServiceSigma = 0.5; ///< of the log-normal distribution
  std::uint64_t Seed = 1;
  std::vector<held_version> Versions{{7, 1}};
  std::size_t ItemCount = 200; ///< of all shards of the service
  std::string RunLogPath;      ///< empty for none
  milliseconds Cold{0};        ///< warm-up period after the start
  int Threads = 2;
};

} // namespace tarragon::standins
