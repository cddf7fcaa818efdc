#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace tarragon::log {

/// A token bucket that limits the lines written per second. Starts full; not
/// thread-safe.
class line_limiter {
public:
  explicit line_limiter(std::size_t LinesPerSecond)
      : LinesPerSecond(LinesPerSecond),
        Tokens(static_cast<double>(LinesPerSecond)) {}

  /// Consumes one token; counts the line as rejected and returns false if none
  /// is left beside \p Reserved.
  auto tryAcquire(time_point Now, double Reserved = 0) -> bool;

  /// Returns the most tokens that it holds.
  auto capacity() const -> double {
    return static_cast<double>(LinesPerSecond);
  }

  /// Returns the number of lines rejected since the last call and resets it.
  auto takeRejected() -> std::uint64_t;

private:
  std::size_t LinesPerSecond;
  double Tokens;
  time_point RefilledAt;
  std::uint64_t Rejected = 0;
};

} // namespace tarragon::log
