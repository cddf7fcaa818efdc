#pragma once

#include "admission/types/crashedrun.h"
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
/// crashed. Only such requests are reported. Targets that crash together count
/// as one crash, but a run that was sent after an earlier one had ended by a
/// crash, as a retry is, counts again: a target that crashed for another reason
/// at the same moment as the first would not have received it. Performs no I/O
/// and reads no clock. Not thread-safe.
class crash_groups {
public:
  /// Records a run that was found at \p Now to be interrupted by a crash.
  auto add(crashed_run Run, time_point Now) -> void;

  /// Returns the reports of the group if it is complete at \p Now, one for each
  /// crash that counts, and starts a new group.
  auto take(time_point Now) -> std::vector<crash_report>;

  /// Crashes within this time of the first one belong to the same group.
  static constexpr milliseconds GroupingTime{200};

private:
  std::optional<time_point> GroupStartedAt;
  std::set<target_id> CrashedTargets;
  std::map<fingerprint, std::vector<crashed_run>> RunsByRequest;
};

} // namespace tarragon::admission
