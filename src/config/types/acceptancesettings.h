#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace tarragon::config {

/// Retry limits of config_acceptance and the size limit of its objects.
struct acceptance_settings {
  int MaxAttempts = 6;                  ///< of one apply or load
  milliseconds InitialDelay{20};        ///< before the second attempt
  milliseconds MaxDelay{500};           ///< upper limit as the delay grows
  std::size_t MaxObjectBytes = 900'000; ///< of one stored object
  std::uint64_t JitterSeed = 1;         ///< seed of the delays' random jitter
};

} // namespace tarragon::config
