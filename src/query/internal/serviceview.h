#pragma once

#include "query/versiontable.h"

#include <set>
#include <span>

namespace tarragon::query {

/// A view of the index versions that the targets of one service hold, built
/// from a version table for one decision. Valid until the table changes.
class service_view {
public:
  service_view(const version_table &Table, const service &Service);

  service_view(service_view &&) = default;
  service_view(const service_view &) = delete; ///< Lists point into Hint

  /// Returns all versions that at least one target is known to hold.
  auto versions() const -> std::set<index_version>;

  /// Returns the largest shard count at which every group that holds one of
  /// its shards is known to hold \p Version.
  auto commonShardCount(index_version Version) const
      -> std::optional<std::size_t>;

  /// Returns the likely shard count of \p Version, if no group is known to hold
  /// only newer versions.
  auto likelyShardCount(index_version Version) const
      -> std::optional<std::size_t>;

  /// Returns the shard count at which any target holds \p Version; a count
  /// common to all groups is preferred.
  auto anyShardCount(index_version Version) const -> std::optional<std::size_t>;

  /// Returns whether every target has reported and none holds \p Version.
  auto isUnavailable(index_version Version) const -> bool;

private:
  /// The reports of the targets of one group.
  struct group_view {
    std::vector<std::span<const held_version>> Lists; ///< one per target
    index_version MinNewestVersion = 0; ///< minimum over its targets
    bool AnyUnreported = false;         ///< a target without a report

    auto holds(held_version Version) const -> bool;
  };

  auto loadHint(const version_table &Table, const service &Service) -> void;
  auto viewGroup(const version_table &Table, const replica_group &Group) const
      -> group_view;
  auto shardCounts(index_version Version) const -> std::set<std::size_t>;
  auto heldByAllGroups(index_version Version, std::size_t Count,
                       bool Likely) const -> bool;
  auto largestCommonCount(index_version Version, bool Likely) const
      -> std::optional<std::size_t>;
  auto newestShardCount() const -> std::size_t;

  std::vector<group_view> Groups;
  std::vector<held_version> Hint; ///< at most one
};

} // namespace tarragon::query
