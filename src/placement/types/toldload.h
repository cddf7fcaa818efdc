#pragma once

namespace tarragon::placement {

/// The load that a target reported in an answer, as of the end of the answer.
struct told_load {
  int Running = 0; ///< requests in execution
  int Waiting = 0; ///< requests in the target's queue
  int Slots = 1;   ///< requests that it executes at the same time
  /// Time that work currently takes on its machine, relative to the usual; 0:
  /// not reported.
  double Pace = 0;

  auto operator==(const told_load &) const -> bool = default;
};

} // namespace tarragon::placement
