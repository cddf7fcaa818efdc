#pragma once

#include "query/versiontable.h"

#include <set>

namespace tarragon::query {

/// What a version table knows of one service, for one decision.
class service_view {
public:
  service_view(const version_table &Table, const service &Service);

  /// Every version that some target is known to hold.
  auto versions() const -> std::set<index_version>;

  /// The shard count under which every group is known to hold \p Version.
  auto servedAs(index_version Version) const -> std::optional<std::size_t>;

  /// The likely shard count of \p Version when no group is known to have
  /// passed it.
  auto likelyServedAs(index_version Version) const
      -> std::optional<std::size_t>;

  /// The shard count under which any target holds \p Version.
  auto heldAs(index_version Version) const -> std::optional<std::size_t>;

  /// Whether every target spoke and none holds \p Version.
  auto gone(index_version Version) const -> bool;

private:
  /// What is known of the targets of one group.
  struct group_view {
    std::set<std::pair<index_version, std::size_t>> Held;
    index_version Oldest = 0; ///< lowest "newest version" of its targets
    bool AnySilent = false;   ///< a target said nothing
  };

  auto takeHint(const version_table &Table, const service &Service) -> void;
  auto addTarget(group_view &Group, const version_table &Table,
                 const target_id &Target, bool SkipStale) -> void;
  auto countsOf(index_version Version) const -> std::set<std::size_t>;
  auto heldByAll(index_version Version, std::size_t Count, bool Likely) const
      -> bool;
  auto largestHeldByAll(index_version Version, bool Likely) const
      -> std::optional<std::size_t>;
  auto newestCount() const -> std::size_t;

  std::vector<group_view> Groups;
  std::optional<held_version> Hint;
};

} // namespace tarragon::query
