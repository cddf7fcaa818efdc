#pragma once

#include "global/types/time.h"

#include <cstdint>
#include <random>

namespace tarragon::store {

/// A circuit breaker: opens after a number of consecutive failures, allows one
/// probe each time the open time has passed, and closes on a success. Reads no
/// clock; not thread-safe.
class circuit_breaker {
public:
  /// The delay before a probe is drawn evenly from OpenTime / 2 to
  /// OpenTime, so that the probes of many instances are spread out.
  circuit_breaker(int FailureThreshold, milliseconds OpenTime,
                  std::uint64_t Seed)
      : FailureThreshold(FailureThreshold), OpenTime(OpenTime), Random(Seed) {}

  /// Returns whether a call may be sent at \p Now. While the circuit is open,
  /// a call that is allowed is the probe.
  auto allow(time_point Now) -> bool;

  /// Record the outcome of an allowed call.
  auto recordSuccess() -> void;
  auto recordFailure(time_point Now) -> void;

  /// Returns whether the circuit is open, so that only probes are allowed.
  auto open() const -> bool { return ConsecutiveFailures >= FailureThreshold; }

private:
  auto drawProbeDelay() -> milliseconds;

  int FailureThreshold;
  milliseconds OpenTime;
  int ConsecutiveFailures = 0;
  time_point NextProbeAt{};
  std::mt19937_64 Random;
};

} // namespace tarragon::store
