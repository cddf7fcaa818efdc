#pragma once

#include "global/types/time.h"

#include <cstdint>

namespace tarragon::store {

/// Timeouts, rate limits and circuit breaker settings of a platform client.
struct client_settings {
  milliseconds ConnectTimeout{500};
  milliseconds CallTimeout{2000}; ///< watches: added to their wait time
  double ReadsPerSecond = 100;    ///< watches count as reads
  double WritesPerSecond = 20;
  double BurstSeconds = 2;  ///< bucket capacity, in seconds of either rate
  int FailureThreshold = 5; ///< consecutive failures that open the circuit
  milliseconds OpenTime{1000};
};

} // namespace tarragon::store
