#include "global/internal/linerate.h"

#include <algorithm>
#include <utility>

namespace tarragon::log::internal {

auto line_rate::take(const time_point Now) -> bool {
  const std::chrono::duration<double> Passed = Now - FilledAt;
  const auto Most = static_cast<double>(LinesPerSecond);
  Room = std::min(Most, Room + std::max(0.0, Passed.count()) * Most);
  FilledAt = Now;
  if (Room < 1) {
    ++Refused;
    return false;
  }
  Room -= 1;
  return true;
}

auto line_rate::takeRefused() -> std::uint64_t {
  return std::exchange(Refused, 0);
}

} // namespace tarragon::log::internal
