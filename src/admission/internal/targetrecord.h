#pragma once

#include "admission/internal/crashattribution.h"
#include "admission/internal/missingversion.h"
#include "admission/internal/targetejection.h"
#include "world/types/target.h"

#include <optional>
#include <vector>

namespace tarragon::admission::internal {

/// The state of one target as this dispatcher observes it in its own attempts.
struct target_record {
  target Target;
  bool Configured = true; ///< in the configuration in force
  bool Leaving = false;
  time_point LeavingReportedAt;       ///< when it last answered that it drains
  std::optional<time_point> ReturnAt; ///< when an announced return takes effect
  int InFlight = 0;
  int SuspectsInFlight = 0;
  std::vector<held_version> Held; ///< empty if the target sent no list
  time_point HeldReportedAt;      ///< when the target sent the list
  std::vector<missing_version> MissingVersions;
  target_ejection Ejection;
  /// Time of the last crash since the last answer; zero if none.
  time_point CrashedAt;
  crash_attribution Attribution = crash_attribution::All; ///< of the last crash

  microseconds Latency{0};     ///< moving average; 0 before the first answer
  time_point LatencySampledAt; ///< of its last sample
  double LateShare = 0;        ///< moving average of attempts that were late
  time_point ProbedAt;         ///< when the last probe was sent to it

  double ShedLimit = 1e9; ///< estimated attempts in flight that the target
                          ///< accepts from this instance
  int ConsecutiveSheds = 0;
  time_point ShedAt;
  time_point PausedUntil; ///< no new attempts before this time, after shedding
};

} // namespace tarragon::admission::internal
