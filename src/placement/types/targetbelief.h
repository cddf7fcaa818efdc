#pragma once

#include "global/types/time.h"

#include <string_view>

namespace tarragon::placement {

/// Whether a target gets new work, and if not, why.
enum class target_standing {
  Fine,
  Full,   ///< this instance's share of its connections is in use
  Silent, ///< it has answered nothing for longer than usual
  Blocked ///< it failed lately
};

/// What an instance believes of a target, for those who look on.
struct target_belief {
  target_standing Standing = target_standing::Fine;
  double Slowness = 1; ///< latency over the usual
  double Refusals = 0; ///< share of attempts shed, failed or broken
  int Outstanding = 0; ///< attempts
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
  }
  return "fine";
}

} // namespace tarragon::placement
