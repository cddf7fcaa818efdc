#include "query/internal/serviceview.h"

#include <algorithm>
#include <limits>

namespace tarragon::query {

namespace {

/// Whether what a target of the same service said shows \p Hint to be wrong
/// or out of date.
auto belies(const std::vector<held_version> &Held, const held_version &Hint)
    -> bool {
  bool AnyNewer = false;
  for (const held_version &Said : Held) {
    if (Said.Version == Hint.Version)
      return Said.ShardCount != Hint.ShardCount;
    AnyNewer = AnyNewer || Said.Version > Hint.Version;
  }
  return AnyNewer;
}

} // namespace

service_view::service_view(const version_table &Table, const service &Service) {
  takeHint(Table, Service);
  for (const replica_group &Group : Service.Groups) {
    const bool AnyFresh = std::any_of(
        Group.Targets.begin(), Group.Targets.end(), [&](const target &Target) {
          const auto Spoke = Table.Said.find(Target.Id);
          return Spoke != Table.Said.end() && !Spoke->second.Stale;
        });
    group_view View;
    View.Oldest = std::numeric_limits<index_version>::max();
    for (const target &Target : Group.Targets)
      addTarget(View, Table, Target.Id, AnyFresh);
    Groups.push_back(std::move(View));
  }
}

auto service_view::takeHint(const version_table &Table, const service &Service)
    -> void {
  const auto Found = Table.Hints.find(Service.Index);
  if (Found == Table.Hints.end())
    return;
  const auto Count = Found->second.ShardCounts.find(Service.Id);
  if (Count == Found->second.ShardCounts.end())
    return;
  const held_version Told{Found->second.Version, Count->second};
  for (const replica_group &Group : Service.Groups)
    for (const target &Target : Group.Targets) {
      const auto Spoke = Table.Said.find(Target.Id);
      if (Spoke != Table.Said.end() && belies(Spoke->second.Held, Told))
        return;
    }
  Hint = Told;
}

auto service_view::addTarget(group_view &Group, const version_table &Table,
                             const target_id &Target, const bool SkipStale)
    -> void {
  const auto Spoke = Table.Said.find(Target);
  if (Spoke == Table.Said.end()) {
    Group.AnySilent = true;
    if (Hint)
      Group.Held.emplace(Hint->Version, Hint->ShardCount);
    return;
  }
  index_version Newest = 0;
  for (const held_version &Held : Spoke->second.Held)
    Newest = std::max(Newest, Held.Version);
  Group.Oldest = std::min(Group.Oldest, Newest);
  if (SkipStale && Spoke->second.Stale)
    return;
  for (const held_version &Held : Spoke->second.Held)
    Group.Held.emplace(Held.Version, Held.ShardCount);
}

auto service_view::versions() const -> std::set<index_version> {
  std::set<index_version> All;
  for (const group_view &Group : Groups)
    for (const auto &[Version, Count] : Group.Held)
      All.insert(Version);
  return All;
}

auto service_view::countsOf(const index_version Version) const
    -> std::set<std::size_t> {
  std::set<std::size_t> Counts;
  for (const group_view &Group : Groups)
    for (auto At = Group.Held.lower_bound({Version, 0});
         At != Group.Held.end() && At->first == Version; ++At)
      Counts.insert(At->second);
  return Counts;
}

auto service_view::heldByAll(const index_version Version,
                             const std::size_t Count, const bool Likely) const
    -> bool {
  // Shard s lives on group s mod Groups.size(): few shards need few groups.
  const std::size_t Needed = std::min(Count, Groups.size());
  for (std::size_t Index = 0; Index < Needed; ++Index) {
    const group_view &Group = Groups[Index];
    if (Group.Held.contains({Version, Count}))
      continue;
    if (Likely && (Group.AnySilent || Group.Oldest < Version))
      continue;
    return false;
  }
  return Needed > 0;
}

auto service_view::largestHeldByAll(const index_version Version,
                                    const bool Likely) const
    -> std::optional<std::size_t> {
  const std::set<std::size_t> Counts = countsOf(Version);
  const auto Found = std::find_if(Counts.rbegin(), Counts.rend(),
                                  [&](const std::size_t Count) {
                                    return heldByAll(Version, Count, Likely);
                                  });
  if (Found == Counts.rend())
    return std::nullopt;
  return *Found;
}

auto service_view::servedAs(const index_version Version) const
    -> std::optional<std::size_t> {
  return largestHeldByAll(Version, false);
}

auto service_view::newestCount() const -> std::size_t {
  const std::set<index_version> All = versions();
  return All.empty() ? Groups.size() : *countsOf(*All.rbegin()).rbegin();
}

auto service_view::likelyServedAs(const index_version Version) const
    -> std::optional<std::size_t> {
  if (const auto Known = largestHeldByAll(Version, true))
    return Known;
  const std::size_t Count = newestCount();
  if (heldByAll(Version, Count, true))
    return Count;
  return std::nullopt;
}

auto service_view::heldAs(const index_version Version) const
    -> std::optional<std::size_t> {
  if (const auto Served = servedAs(Version))
    return Served;
  const std::set<std::size_t> Counts = countsOf(Version);
  if (Counts.empty())
    return std::nullopt;
  return *Counts.rbegin();
}

auto service_view::gone(const index_version Version) const -> bool {
  const bool AnySilent =
      std::any_of(Groups.begin(), Groups.end(),
                  [](const group_view &Group) { return Group.AnySilent; });
  return !AnySilent && countsOf(Version).empty();
}

} // namespace tarragon::query
