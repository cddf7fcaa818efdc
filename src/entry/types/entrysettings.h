#pragma once

#include "account/types/quotalimits.h"
#include "global/types/time.h"
#include "world/types/instance.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tarragon::entry {

/// Settings of one entry process, read from its flags and environment.
struct entry_settings {
  instance Self; ///< its Incarnation increases with every process start
  address Platform;
  std::vector<address> Seeds; ///< peers to ping while no other member is known
  /// Team of each bearer token; an empty team may change everything.
  std::map<std::string, team_id> Tokens;
  int Workers = 3;
  int CallerThreads = 4;
  std::size_t MaxBodyBytes = 1048576;
  milliseconds ListPeriod{1000}; ///< between reads of the instance list
  milliseconds WatchWait{10000}; ///< timeout of one long-polling watch
  milliseconds TicketLifetime{60000};
  milliseconds ProbePeriod{200};
  milliseconds SuspicionTime{1000};
  milliseconds DrainLimit{30000}; ///< maximum time a drain waits for work in
                                  ///< flight, after the address lifetime
  /// Tolerance of the quotas of client accounts over all instances. The slack
  /// pays for what instances admit before they hear of each other.
  account::quota_limits Quotas{milliseconds{5000}, 0.1, 20};
};

} // namespace tarragon::entry
