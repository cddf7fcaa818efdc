#include "admission/crashgroups.h"

namespace tarragon::admission {

auto crash_groups::add(const target_id &Target, const fingerprint Request,
                       const time_point Now) -> void {
  if (!GroupStartedAt)
    GroupStartedAt = Now;
  CrashedTargets.insert(Target);
  TargetsByRequest[Request].insert(Target);
}

auto crash_groups::take(const time_point Now) -> std::vector<crash_report> {
  std::vector<crash_report> Reports;
  if (!GroupStartedAt || Now < *GroupStartedAt + GroupingTime)
    return Reports;
  for (const auto &[Request, RanOn] : TargetsByRequest)
    if (RanOn == CrashedTargets)
      Reports.push_back({Request, *RanOn.begin(), true, milliseconds(0)});
  GroupStartedAt.reset();
  CrashedTargets.clear();
  TargetsByRequest.clear();
  return Reports;
}

} // namespace tarragon::admission
