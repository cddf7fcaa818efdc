#pragma once

#include "admission/types/crashreport.h"
#include "global/types/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tarragon::admission {

/// Determines which requests may have caused crashes that are observed at about
/// the same time.
///
/// When many targets crash at once for another reason, the attempts on them are
/// all interrupted, possibly several of one query, although no request caused
/// the crashes. A poison request, in contrast, was running on every target that
/// crashed. Only such requests are reported, and all targets that crash
/// together count as one crash. Performs no I/O and reads no clock. Not
/// thread-safe.
class crash_groups {
public:
  /// Records that a crash of \p Target interrupted a run of \p Request.
  auto add(const target_id &Target, fingerprint Request, time_point Now)
      -> void;

  /// Returns the reports of the group if it is complete at \p Now, one for each
  /// request, and starts a new group.
  auto take(time_point Now) -> std::vector<crash_report>;

  /// Crashes within this time of the first one belong to the same group.
  static constexpr milliseconds GroupingTime{200};

private:
  std::optional<time_point> GroupStartedAt;
  std::set<target_id> CrashedTargets;
  /// The targets on which runs of each request were interrupted.
  std::map<fingerprint, std::set<target_id>> TargetsByRequest;
};

} // namespace tarragon::admission
