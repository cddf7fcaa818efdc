#pragma once

#include "global/types/time.h"

#include <string_view>

namespace tarragon::placement {

/// Whether a target gets new attempts, or the reason why not.
enum class target_standing {
  Fine,
  Full,    ///< this instance's share of its connections is in use
  Silent,  ///< no answer for longer than expected
  Blocked, ///< it failed recently
  Closed   ///< it asked for no requests for a while
};

/// The health of a target as an instance observes it, for status views.
struct target_health_report {
  target_standing Standing = target_standing::Fine;
  double Slowness = 1; ///< latency over the median
  double Refusals = 0; ///< share of attempts shed, failed or broken
  int Outstanding = 0; ///< attempts in flight
  milliseconds BlockedFor{0};
};

constexpr auto name(const target_standing Standing) -> std::string_view {
  switch (Standing) {
  case target_standing::Fine:
    return "fine";
  case target_standing::Full:
    return "full";
  case target_standing::Silent:
    return "silent";
  case target_standing::Blocked:
    return "blocked";
  case target_standing::Closed:
    return "closed";
  }
  return "fine";
}

} // namespace tarragon::placement
