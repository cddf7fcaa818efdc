#pragma once

#include "admission/internal/crashblame.h"
#include "admission/internal/lackedversion.h"
#include "admission/internal/targethealth.h"
#include "world/types/target.h"

#include <optional>
#include <vector>

namespace tarragon::admission::internal {

/// What this dispatcher knows of one target, all from its own attempts.
struct target_state {
  target Target;
  bool Listed = true; ///< in the configuration in force
  bool Leaving = false;
  time_point SaidLeaving;             ///< when it last answered so itself
  std::optional<time_point> ReturnAt; ///< when a told return comes in force
  int InFlight = 0;
  int SuspectsInFlight = 0;
  std::vector<held_version> Held; ///< empty when not told
  time_point HeldAt;              ///< when it told so
  std::vector<lacked_version> Lacks;
  target_health Health;
  time_point CrashedAt; ///< since its last answer; zero when it did not
  crash_blame Blame = crash_blame::All; ///< for the last crash

  microseconds Latency{0}; ///< moving average; 0 before the first answer
  time_point LatencyAt;    ///< of its last sample
  double LateShare = 0;    ///< moving average of attempts that were late
  time_point ProbedAt;     ///< when it last got a probe for being slow

  double ShedLimit = 1e9; ///< attempts in flight it seems to take from here
  int ShedsInARow = 0;
  time_point ShedAt;
  time_point PausedUntil; ///< after shedding
};

} // namespace tarragon::admission::internal
