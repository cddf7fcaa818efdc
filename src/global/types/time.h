#pragma once

#include <chrono>

namespace tarragon {

/// A time on the monotonic clock. Has no meaning in another process, so it is
/// never sent.
using time_point = std::chrono::steady_clock::time_point;

/// The unit of deadlines and delays on the wire.
using milliseconds = std::chrono::milliseconds;

/// The unit of measured latencies.
using microseconds = std::chrono::microseconds;

/// A time on the wall clock. Used only in text for operators.
using wall_time = std::chrono::system_clock::time_point;

} // namespace tarragon
