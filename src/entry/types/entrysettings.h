#pragma once

#include "global/types/time.h"
#include "world/types/instance.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace tarragon::entry {

/// Everything a process learns from its flags and environment.
struct entry_settings {
  instance Self; ///< its Incarnation differs between lives and grows
  address Platform;
  std::vector<address> Seeds; ///< peers to ask while the list names none
  std::map<std::string, team_id> Tokens; ///< bearer token to its team; an
                                         ///< empty team may change everything
  int Workers = 3;
  int CallerThreads = 4;
  std::size_t MostBodyBytes = 1048576;
  milliseconds ListPeriod{1000}; ///< between reads of the instance list
  milliseconds WatchWait{10000}; ///< of one waiting watch
  milliseconds TicketLifetime{60000};
  milliseconds ProbePeriod{200};
  milliseconds SuspicionTime{1000};
  milliseconds DrainLimit{30000}; ///< a drain gives up waiting after it
};

} // namespace tarragon::entry
