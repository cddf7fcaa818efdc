#pragma once

#include "global/types/time.h"

namespace tarragon::account {

/// How far the requests of one client account may exceed its rate and burst,
/// summed over all instances. In any \c Window at most
/// (rate x Window + burst) x (1 + Overage) + Slack of them may run.
struct quota_limits {
  milliseconds Window{5000};
  double Overage = 0;
  double Slack = 0;

  auto operator==(const quota_limits &) const -> bool = default;
};

} // namespace tarragon::account
