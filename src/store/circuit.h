#pragma once

#include "global/types/time.h"

#include <cstdint>
#include <random>

namespace tarragon::store {

/// A circuit breaker: opens after consecutive failures, lets one probe
/// through when its time is over, and closes on a success. Pure; the caller
/// locks.
class circuit {
public:
  /// The time to a probe is drawn from OpenFor/2 to OpenFor, so that the
  /// probes of many instances spread.
  circuit(int OpenAfter, milliseconds OpenFor, std::uint64_t Seed)
      : OpenAfter(OpenAfter), OpenFor(OpenFor), Random(Seed) {}

  /// Whether a call may go out now. While open, true makes it the probe.
  auto allow(time_point Now) -> bool;

  /// Tells how an allowed call ended.
  auto recordSuccess() -> void;
  auto recordFailure(time_point Now) -> void;

  /// Whether calls are held back.
  auto open() const -> bool { return Failures >= OpenAfter; }

private:
  auto delay() -> milliseconds;

  int OpenAfter;
  milliseconds OpenFor;
  int Failures = 0;
  time_point NextProbe{};
  std::mt19937_64 Random;
};

} // namespace tarragon::store
