#pragma once

#include "global/types/time.h"

#include <cstddef>

namespace tarragon::route {

/// What a caller may send and how long it may take.
struct caller_limits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 262144;
  milliseconds HeaderTimeout{5000}; ///< from a request's first byte
  milliseconds IdleTimeout{30000};  ///< of a connection between requests

  auto operator==(const caller_limits &) const -> bool = default;
};

} // namespace tarragon::route
