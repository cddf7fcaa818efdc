#pragma once

#include "admission/internal/randomsource.h"
#include "world/types/settlement.h"

namespace tarragon::admission::internal {

/// The ejection of a target by the results of this dispatcher's attempts:
/// probes with exponential backoff, and slow start after a return.
class target_ejection {
public:
  /// Records a complete answer. The slow start ends when its limit reaches
  /// \p Slots.
  auto onAnswer(int Slots) -> void;

  /// Records a failed attempt. \p MayEject is false if too many other targets
  /// are ejected. Returns whether the target is ejected afterwards.
  auto onFailure(attempt_outcome Outcome, bool MayEject, random_source &Random,
                 time_point Now) -> bool;

  /// Resets the state and begins a slow start, for a target that is new or
  /// has returned.
  auto beginSlowStart() -> void;

  auto ejected() const -> bool { return Ejected; }

  /// Returns when the next probe may be sent to an ejected target.
  auto probeAt() const -> time_point { return ProbeAt; }

  /// Returns the maximum number of attempts in flight during the slow start.
  auto slowStartLimit() const -> double { return SlowStartLimit; }

  /// Returns the weighted number of failures since the last answer.
  auto failureScore() const -> int { return FailureScore; }

private:
  bool Ejected = false;
  int FailureScore = 0;
  int Ejections = 0; ///< since the last answer
  time_point ProbeAt;
  double SlowStartLimit = 1e9;
};

} // namespace tarragon::admission::internal
