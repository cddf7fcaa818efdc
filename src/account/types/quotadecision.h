#pragma once

#include "global/types/time.h"

namespace tarragon::account {

/// Whether a request of an account may run now.
struct quota_decision {
  bool IsAdmitted = true;
  milliseconds RetryAfter{0}; ///< of a refused one: when a token is due
};

} // namespace tarragon::account
