#include "query/internal/serviceview.h"

#include <algorithm>
#include <limits>

namespace tarragon::query {

namespace {

/// Returns whether \p Held, reported by a target of the same service, shows
/// that \p Hint is wrong or outdated.
auto contradicts(const std::vector<held_version> &Held,
                 const held_version &Hint) -> bool {
  bool AnyNewer = false;
  for (const held_version &Reported : Held) {
    if (Reported.Version == Hint.Version)
      return Reported.ShardCount != Hint.ShardCount;
    AnyNewer = AnyNewer || Reported.Version > Hint.Version;
  }
  return AnyNewer;
}

} // namespace

service_view::service_view(const version_table &Table, const service &Service) {
  loadHint(Table, Service);
  Groups.reserve(Service.Groups.size());
  for (const replica_group &Group : Service.Groups)
    Groups.push_back(viewGroup(Table, Group));
}

auto service_view::loadHint(const version_table &Table, const service &Service)
    -> void {
  const auto Found = Table.Hints.find(Service.Index);
  if (Found == Table.Hints.end())
    return;
  const auto Count = Found->second.ShardCounts.find(Service.Id);
  if (Count == Found->second.ShardCounts.end())
    return;
  const held_version Hinted{Found->second.Version, Count->second};
  for (const replica_group &Group : Service.Groups)
    for (const target &Target : Group.Targets) {
      const auto Report = Table.Reports.find(Target.Id);
      if (Report != Table.Reports.end() &&
          contradicts(Report->second.Held, Hinted))
        return;
    }
  Hint.push_back(Hinted);
}

auto service_view::viewGroup(const version_table &Table,
                             const replica_group &Group) const -> group_view {
  group_view View;
  View.MinNewestVersion = std::numeric_limits<index_version>::max();
  std::vector<std::span<const held_version>> Stale;
  for (const target &Target : Group.Targets) {
    const auto Report = Table.Reports.find(Target.Id);
    if (Report == Table.Reports.end()) {
      View.AnyUnreported = true;
      continue;
    }
    const auto &[Held, At, IsStale] = Report->second;
    View.MinNewestVersion =
        std::min(View.MinNewestVersion, Held.front().Version);
    (IsStale ? Stale : View.Lists).emplace_back(Held);
  }
  if (View.Lists.empty())
    View.Lists = std::move(Stale);
  if (View.AnyUnreported && !Hint.empty())
    View.Lists.emplace_back(Hint);
  return View;
}

auto service_view::group_view::holds(const held_version Version) const -> bool {
  return std::any_of(Lists.begin(), Lists.end(), [Version](const auto &List) {
    return std::find(List.begin(), List.end(), Version) != List.end();
  });
}

auto service_view::versions() const -> std::set<index_version> {
  std::set<index_version> All;
  for (const group_view &Group : Groups)
    for (const auto &List : Group.Lists)
      for (const held_version &Held : List)
        All.insert(Held.Version);
  return All;
}

auto service_view::shardCounts(const index_version Version) const
    -> std::set<std::size_t> {
  std::set<std::size_t> Counts;
  for (const group_view &Group : Groups)
    for (const auto &List : Group.Lists)
      for (const held_version &Held : List)
        if (Held.Version == Version)
          Counts.insert(Held.ShardCount);
  return Counts;
}

auto service_view::heldByAllGroups(const index_version Version,
                                   const std::size_t Count,
                                   const bool Likely) const -> bool {
  // Shard s is held by group s mod Groups.size(), so that fewer shards than
  // groups need only the first groups.
  const std::size_t Needed = std::min(Count, Groups.size());
  for (std::size_t Index = 0; Index < Needed; ++Index) {
    const group_view &Group = Groups[Index];
    if (Group.holds({Version, Count}))
      continue;
    if (Likely && (Group.AnyUnreported || Group.MinNewestVersion < Version))
      continue;
    return false;
  }
  return Needed > 0;
}

auto service_view::largestCommonCount(const index_version Version,
                                      const bool Likely) const
    -> std::optional<std::size_t> {
  const std::set<std::size_t> Counts = shardCounts(Version);
  const auto Found = std::find_if(
      Counts.rbegin(), Counts.rend(), [&](const std::size_t Count) {
        return heldByAllGroups(Version, Count, Likely);
      });
  if (Found == Counts.rend())
    return std::nullopt;
  return *Found;
}

auto service_view::commonShardCount(const index_version Version) const
    -> std::optional<std::size_t> {
  return largestCommonCount(Version, false);
}

auto service_view::newestShardCount() const -> std::size_t {
  const std::set<index_version> All = versions();
  return All.empty() ? Groups.size() : *shardCounts(*All.rbegin()).rbegin();
}

auto service_view::likelyShardCount(const index_version Version) const
    -> std::optional<std::size_t> {
  if (const auto Largest = largestCommonCount(Version, true))
    return Largest;
  const std::size_t Count = newestShardCount();
  if (heldByAllGroups(Version, Count, true))
    return Count;
  return std::nullopt;
}

auto service_view::anyShardCount(const index_version Version) const
    -> std::optional<std::size_t> {
  if (const auto Common = commonShardCount(Version))
    return Common;
  const std::set<std::size_t> Counts = shardCounts(Version);
  if (Counts.empty())
    return std::nullopt;
  return *Counts.rbegin();
}

auto service_view::isUnavailable(const index_version Version) const -> bool {
  const bool AnyUnreported =
      std::any_of(Groups.begin(), Groups.end(),
                  [](const group_view &Group) { return Group.AnyUnreported; });
  return !AnyUnreported && shardCounts(Version).empty();
}

} // namespace tarragon::query
