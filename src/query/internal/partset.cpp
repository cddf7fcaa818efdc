#include "query/internal/partset.h"

#include <algorithm>
#include <iterator>

namespace tarragon::query {

auto part_set::markAnswered(const std::size_t Index, std::vector<item> Items)
    -> void {
  query_part &Part = Parts[Index];
  Part.State = part_state::Answered;
  Part.Items = std::move(Items);
  --Pending;
  ++Answered;
}

auto part_set::markFailed(const std::size_t Index, const attempt_outcome Reason,
                          const bool TryNotRun) -> void {
  query_part &Part = Parts[Index];
  Part.State = part_state::Failed;
  Part.Reason = Reason;
  Part.MayHaveRun = Part.MayHaveRun || !TryNotRun;
  --Pending;
  if (Reason == attempt_outcome::WrongVersion)
    ++LackingVersion;
  if (!Part.MayHaveRun)
    ++ProvenNotRun;
}

auto part_set::retry(const std::size_t Index) -> void {
  query_part &Part = Parts[Index];
  if (!Part.MayHaveRun)
    --ProvenNotRun;
  if (Part.Reason == attempt_outcome::Crashed)
    Part.RetriedAfterCrash = true;
  else
    Part.RetriedAfterLoss = true;
  Part.State = part_state::Pending;
  ++Part.Try;
  ++Pending;
}

auto part_set::detailedCoverage() const -> coverage {
  coverage Counted = counts();
  for (const query_part &Part : Parts) {
    if (Part.State == part_state::Answered)
      continue;
    const attempt_outcome Reason = Part.State == part_state::Failed
                                       ? Part.Reason
                                       : attempt_outcome::Expired;
    Counted.Missing.push_back({Part.Service, Part.Shard, Reason});
  }
  return Counted;
}

auto part_set::takeItems() -> std::vector<item> {
  std::vector<item> All;
  for (query_part &Part : Parts) {
    if (Part.State != part_state::Answered)
      continue;
    std::move(Part.Items.begin(), Part.Items.end(), std::back_inserter(All));
    Part.Items.clear();
  }
  return All;
}

auto part_set::anyHasAtLeast(const std::size_t Count) const -> bool {
  return std::any_of(
      Parts.begin(), Parts.end(), [Count](const query_part &Part) {
        return Part.State == part_state::Answered && Part.Items.size() >= Count;
      });
}

} // namespace tarragon::query
