#pragma once

#include "admission/types/crashreport.h"
#include "global/types/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tarragon::admission {

/// Which requests may have caused the crashes that are seen at about the same
/// moment.
///
/// Answers the load "many targets crash at once": whatever ran on them broke
/// off, a query perhaps on several of them, and none of it is to blame. A
/// request that crashes what runs it was on every target that went down; all
/// that crash with it at once count as one crash. Pure; not locked.
class crash_groups {
public:
  /// A run of \p Request broke off as \p Target crashed.
  auto add(const target_id &Target, fingerprint Request, time_point Now)
      -> void;

  /// The reports of a group that is complete by \p Now, one a request.
  auto take(time_point Now) -> std::vector<crash_report>;

  /// What is seen within it of the first crash belongs to one group.
  static constexpr milliseconds Span{200};

private:
  std::optional<time_point> Since;
  std::set<target_id> Targets;
  std::map<fingerprint, std::set<target_id>> Runs; ///< that broke off
};

} // namespace tarragon::admission
