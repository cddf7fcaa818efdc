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

} // namespace

auto mergePage(const merge_kind Merge, part_set &Parts,
               const std::size_t Offset, const std::size_t Limit)
    -> merged_page {
  const std::size_t End = Offset + Limit;
  const bool AnyFull = Parts.anyHasAtLeast(End);
  std::vector<item> All = Parts.takeItems();
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
