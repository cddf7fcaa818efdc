#pragma once

#include "global/types/time.h"

#include <cstdint>

namespace tarragon::store {

/// What a client may ask of the platform, and how long it waits.
struct client_settings {
  milliseconds ConnectTimeout{500};
  milliseconds CallTimeout{2000}; ///< watches: on top of the time they wait
  double ReadsPerSecond = 100;    ///< watches count as reads
  double WritesPerSecond = 20;
  double Burst = 2;  ///< seconds of either rate that may be saved up
  int OpenAfter = 5; ///< consecutive failures that open the circuit
  milliseconds OpenFor{1000};
};

} // namespace tarragon::store
