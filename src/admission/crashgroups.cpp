#include "admission/crashgroups.h"

#include <algorithm>

namespace tarragon::admission {

namespace {

auto targetsOf(const std::vector<crashed_run> &Runs) -> std::set<target_id> {
  std::set<target_id> Targets;
  for (const crashed_run &Run : Runs)
    Targets.insert(Run.Target);
  return Targets;
}

/// Appends a report for the run that ended first, and for each that was sent
/// after the end of the one reported before it.
auto reportInTurn(std::vector<crashed_run> Runs,
                  std::vector<crash_report> &Reports) -> void {
  std::sort(Runs.begin(), Runs.end(),
            [](const crashed_run &Left, const crashed_run &Right) {
              return Left.EndedAt < Right.EndedAt;
            });
  std::optional<time_point> LastEnd;
  for (const crashed_run &Run : Runs) {
    if (LastEnd && Run.SentAt < *LastEnd)
      continue;
    LastEnd = Run.EndedAt;
    Reports.push_back(
        {Run.Request, Run.Target, true, milliseconds(0), Run.StartedAtMs});
  }
}

} // namespace

auto crash_groups::add(crashed_run Run, const time_point Now) -> void {
  if (!GroupStartedAt)
    GroupStartedAt = Now;
  CrashedTargets.insert(Run.Target);
  RunsByRequest[Run.Request].push_back(std::move(Run));
}

auto crash_groups::take(const time_point Now) -> std::vector<crash_report> {
  std::vector<crash_report> Reports;
  if (!GroupStartedAt || Now < *GroupStartedAt + GroupingTime)
    return Reports;
  for (auto &[Request, Runs] : RunsByRequest)
    if (targetsOf(Runs) == CrashedTargets)
      reportInTurn(std::move(Runs), Reports);
  GroupStartedAt.reset();
  CrashedTargets.clear();
  RunsByRequest.clear();
  return Reports;
}

} // namespace tarragon::admission
