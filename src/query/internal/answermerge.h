#pragma once

#include "query/internal/partset.h"
#include "world/types/contract.h"

#include <vector>

namespace tarragon::query {

/// One page of merged items.
struct merged_page {
  std::vector<item> Items;
  bool More = false; ///< a later page may hold items
};

/// Merges the items of answered parts, given in the order of services and
/// shards, into the page of \p Limit items at \p Offset; limit 0 is all.
/// Equal keys of different shards are different items.
auto mergePage(merge_kind Merge, part_set &Parts, std::size_t Offset,
               std::size_t Limit) -> merged_page;

} // namespace tarragon::query
