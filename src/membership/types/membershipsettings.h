#pragma once

#include "global/types/time.h"

#include <cstddef>

namespace tarragon::membership {

/// Times and fan-outs of the membership protocol.
struct membership_settings {
  milliseconds ProbePeriod{200};
  milliseconds ProbeTimeout{150};
  milliseconds SuspicionTime{1000};
  milliseconds ForgetDeadAfter{60000};
  std::size_t ProbesPerPeriod = 2;
  std::size_t IndirectProbes = 2;
  std::size_t UpdatesPerMessage = 16;
};

} // namespace tarragon::membership
