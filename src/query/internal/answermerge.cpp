#include "query/internal/answermerge.h"

#include <algorithm>
#include <iterator>

namespace tarragon::query {

namespace {

auto ranksBefore(const item &Left, const item &Right) -> bool {
  if (Left.Score != Right.Score)
    return Left.Score > Right.Score;
  return Left.Key < Right.Key;
}

auto isFull(const query_part &Part, const std::size_t End) -> bool {
  return Part.State == part_state::Answered && Part.Items.size() >= End;
}

/// Moves the items out in the order of services and shards.
auto takeItems(std::vector<query_part> &Parts) -> std::vector<item> {
  std::vector<item> All;
  for (query_part &Part : Parts) {
    if (Part.State != part_state::Answered)
      continue;
    std::move(Part.Items.begin(), Part.Items.end(), std::back_inserter(All));
    Part.Items.clear();
  }
  return All;
}

} // namespace

auto mergePage(const merge_kind Merge, std::vector<query_part> &Parts,
               const std::size_t Offset, const std::size_t Limit)
    -> merged_page {
  const std::size_t End = Offset + Limit;
  const bool AnyFull =
      std::any_of(Parts.begin(), Parts.end(),
                  [End](const query_part &Part) { return isFull(Part, End); });
  std::vector<item> All = takeItems(Parts);
  if (Merge == merge_kind::TopK)
    std::stable_sort(All.begin(), All.end(), ranksBefore);
  if (Limit == 0)
    return {std::move(All), false};

  merged_page Page;
  Page.More = AnyFull || All.size() > End;
  const std::size_t First = std::min(Offset, All.size());
  const std::size_t Last = std::min(End, All.size());
  std::move(All.begin() + static_cast<std::ptrdiff_t>(First),
            All.begin() + static_cast<std::ptrdiff_t>(Last),
            std::back_inserter(Page.Items));
  return Page;
}

} // namespace tarragon::query
