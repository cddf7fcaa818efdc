#include "store/circuit.h"

namespace tarragon::store {

auto circuit::allow(const time_point Now) -> bool {
  if (!open())
    return true;
  if (Now < NextProbe)
    return false;
  // A probe that never reports must not keep the circuit open for ever.
  NextProbe = Now + delay();
  return true;
}

auto circuit::recordSuccess() -> void { Failures = 0; }

auto circuit::recordFailure(const time_point Now) -> void {
  if (!open())
    ++Failures;
  if (open())
    NextProbe = Now + delay();
}

auto circuit::delay() -> milliseconds {
  std::uniform_int_distribution<milliseconds::rep> Draw(OpenFor.count() / 2,
                                                        OpenFor.count());
  return milliseconds{Draw(Random)};
}

} // namespace tarragon::store
