#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace tarragon::config {

/// How hard an acceptance tries before it says that the outcome is unknown.
struct acceptance_settings {
  int MostTries = 6; ///< of each step that the platform fails
  milliseconds FirstDelay{20};
  milliseconds LongestDelay{500};
  std::size_t LongestValue = 900'000; ///< bytes of one object
  std::uint64_t Seed = 1;             ///< of the jitter
};

} // namespace tarragon::config
