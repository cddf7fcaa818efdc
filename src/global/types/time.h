#pragma once

#include <chrono>

namespace tarragon {

/// A moment of the monotonic clock. Never sent to another process.
using time_point = std::chrono::steady_clock::time_point;

/// The precision of deadlines and delays on the wire.
using milliseconds = std::chrono::milliseconds;

/// The precision of measured latencies.
using microseconds = std::chrono::microseconds;

/// A moment of the wall clock, for text meant for operators only.
using wall_time = std::chrono::system_clock::time_point;

} // namespace tarragon
