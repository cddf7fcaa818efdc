#include "admission/crashgroups.h"

namespace tarragon::admission {

auto crash_groups::add(const target_id &Target, const fingerprint Request,
                       const time_point Now) -> void {
  if (!Since)
    Since = Now;
  Targets.insert(Target);
  Runs[Request].insert(Target);
}

auto crash_groups::take(const time_point Now) -> std::vector<crash_report> {
  std::vector<crash_report> Reports;
  if (!Since || Now < *Since + Span)
    return Reports;
  for (const auto &[Request, On] : Runs)
    if (On == Targets)
      Reports.push_back({Request, *On.begin(), true, milliseconds(0)});
  Since.reset();
  Targets.clear();
  Runs.clear();
  return Reports;
}

} // namespace tarragon::admission
