#pragma once

#include "query/internal/partset.h"
#include "world/types/contract.h"

#include <vector>

namespace tarragon::query {

/// A page of merged items.
struct merged_page {
  std::vector<item> Items;
  bool More = false; ///< a later page may hold items
};

/// Merges the items of answered parts, taken in the order of services and
/// shards, and returns the page of \p Limit items at \p Offset; limit 0 returns
/// all items. Moves the items out of \p Parts. Items of different shards stay
/// separate even if their keys are equal.
auto mergePage(merge_kind Merge, part_set &Parts, std::size_t Offset,
               std::size_t Limit) -> merged_page;

} // namespace tarragon::query
