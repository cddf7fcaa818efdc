#include "store/circuitbreaker.h"

namespace tarragon::store {

auto circuit_breaker::allow(const time_point Now) -> bool {
  if (!open())
    return true;
  if (Now < NextProbeAt)
    return false;
  // The next probe is scheduled now: the outcome of this one may never be
  // recorded, and the circuit must not stay open for ever.
  NextProbeAt = Now + drawProbeDelay();
  return true;
}

auto circuit_breaker::recordSuccess() -> void { ConsecutiveFailures = 0; }

auto circuit_breaker::recordFailure(const time_point Now) -> void {
  if (!open())
    ++ConsecutiveFailures;
  if (open())
    NextProbeAt = Now + drawProbeDelay();
}

auto circuit_breaker::drawProbeDelay() -> milliseconds {
  std::uniform_int_distribution<milliseconds::rep> Distribution(
      OpenTime.count() / 2, OpenTime.count());
  return milliseconds{Distribution(Random)};
}

} // namespace tarragon::store
