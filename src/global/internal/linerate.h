#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace tarragon::log::internal {

/// Bounds how many lines a second are written. Not locked.
class line_rate {
public:
  explicit line_rate(std::size_t LinesPerSecond)
      : LinesPerSecond(LinesPerSecond),
        Room(static_cast<double>(LinesPerSecond)) {}

  /// Whether one more line may be written at \p Now; counts it if not.
  auto take(time_point Now) -> bool;

  /// Lines refused since this was last asked.
  auto takeRefused() -> std::uint64_t;

private:
  std::size_t LinesPerSecond;
  double Room;
  time_point FilledAt;
  std::uint64_t Refused = 0;
};

} // namespace tarragon::log::internal
