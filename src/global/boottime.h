#pragma once

#include "global/types/time.h"

namespace tarragon {

/// Returns a monotonic time that also advances while the machine is suspended,
/// unlike std::chrono::steady_clock. Comparable only with other results of this
/// function.
auto bootTime() -> time_point;

} // namespace tarragon
