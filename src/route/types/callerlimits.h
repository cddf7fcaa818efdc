#pragma once

#include "global/types/time.h"

#include <cstddef>

namespace tarragon::route {

/// Limits on the size and the duration of a caller's requests.
struct caller_limits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 262144;
  milliseconds HeaderTimeout{5000}; ///< from the first byte of a request
  milliseconds IdleTimeout{30000};  ///< of a connection between requests

  auto operator==(const caller_limits &) const -> bool = default;
};

} // namespace tarragon::route
