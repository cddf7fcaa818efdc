#include "query/internal/settlementcheck.h"

#include <algorithm>
#include <cmath>

namespace tarragon::query {

namespace {

auto hasBadScore(const std::vector<item> &Items) -> bool {
  return std::any_of(Items.begin(), Items.end(),
                     [](const item &Item) { return std::isnan(Item.Score); });
}

} // namespace

auto checkedOutcome(const settlement &Settlement, const query_part &Part,
                    const index_version Version) -> attempt_outcome {
  if (Settlement.Outcome != attempt_outcome::Answered)
    return Settlement.Outcome;
  const bool Matches = Settlement.Version == Version &&
                       Settlement.Shard == Part.Shard &&
                       Settlement.ShardCount == Part.ShardCount;
  if (!Matches || hasBadScore(Settlement.Items))
    return attempt_outcome::Corrupt;
  return attempt_outcome::Answered;
}

auto isProvenNotRun(const settlement &Settlement) -> bool {
  switch (Settlement.Outcome) {
  case attempt_outcome::Answered:
  case attempt_outcome::Crashed:
  case attempt_outcome::Corrupt:
  case attempt_outcome::Refused:
    return false;
  case attempt_outcome::WrongVersion:
  case attempt_outcome::Shed:
  case attempt_outcome::NotSent:
  case attempt_outcome::Leaving:
  case attempt_outcome::Expired:
  case attempt_outcome::NotRun:
    return Settlement.ProvenNotRun;
  }
  return false;
}

} // namespace tarragon::query
