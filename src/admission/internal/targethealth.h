#pragma once

#include "admission/internal/randomsource.h"
#include "world/types/settlement.h"

namespace tarragon::admission::internal {

/// Whether a target answers, from the ends of own attempts at it: ejection
/// with exponential re-probe, and slow start after a return.
class target_health {
public:
  /// A full answer came; \p Slots ends the slow start.
  auto onAnswer(int Slots) -> void;

  /// An attempt ended badly. \p MayEject is false when too many others are
  /// ejected. Returns whether the target is ejected now.
  auto onFailure(attempt_outcome Outcome, bool MayEject, random_source &Random,
                 time_point Now) -> bool;

  /// Starts anew, slowly: the target is new or came back.
  auto restart() -> void;

  auto ejected() const -> bool { return Ejected; }

  /// When an ejected target may get its next probe.
  auto probeAt() const -> time_point { return ProbeAt; }

  /// Most attempts in flight during the slow start.
  auto ramp() const -> double { return Ramp; }

  /// Weight of the failures since the last answer.
  auto failures() const -> int { return Failures; }

private:
  bool Ejected = false;
  int Failures = 0;
  int Ejections = 0; ///< since the last answer
  time_point ProbeAt;
  double Ramp = 1e9;
};

} // namespace tarragon::admission::internal
