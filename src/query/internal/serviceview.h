#pragma once

#include "query/versiontable.h"

#include <set>
#include <span>

namespace tarragon::query {

/// What a version table knows of one service, for one decision: valid until
/// the table changes.
class service_view {
public:
  service_view(const version_table &Table, const service &Service);

  service_view(service_view &&) = default;
  service_view(const service_view &) = delete; ///< Lists point into Hint

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
    std::vector<std::span<const held_version>> Lists; ///< one a target
    index_version Oldest = 0; ///< lowest "newest version" of its targets
    bool AnySilent = false;   ///< a target said nothing

    auto holds(held_version Version) const -> bool;
  };

  auto takeHint(const version_table &Table, const service &Service) -> void;
  auto viewGroup(const version_table &Table, const replica_group &Group) const
      -> group_view;
  auto countsOf(index_version Version) const -> std::set<std::size_t>;
  auto heldByAll(index_version Version, std::size_t Count, bool Likely) const
      -> bool;
  auto largestHeldByAll(index_version Version, bool Likely) const
      -> std::optional<std::size_t>;
  auto newestCount() const -> std::size_t;

  std::vector<group_view> Groups;
  std::vector<held_version> Hint; ///< one or none
};

} // namespace tarragon::query
