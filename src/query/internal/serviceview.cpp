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
  Groups.reserve(Service.Groups.size());
  for (const replica_group &Group : Service.Groups)
    Groups.push_back(viewGroup(Table, Group));
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
  Hint.push_back(Told);
}

auto service_view::viewGroup(const version_table &Table,
                             const replica_group &Group) const -> group_view {
  group_view View;
  View.Oldest = std::numeric_limits<index_version>::max();
  std::vector<std::span<const held_version>> Stale;
  for (const target &Target : Group.Targets) {
    const auto Spoke = Table.Said.find(Target.Id);
    if (Spoke == Table.Said.end()) {
      View.AnySilent = true;
      continue;
    }
    const auto &[Held, At, IsStale] = Spoke->second;
    View.Oldest = std::min(View.Oldest, Held.front().Version);
    (IsStale ? Stale : View.Lists).emplace_back(Held);
  }
  if (View.Lists.empty())
    View.Lists = std::move(Stale);
  if (View.AnySilent && !Hint.empty())
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

auto service_view::countsOf(const index_version Version) const
    -> std::set<std::size_t> {
  std::set<std::size_t> Counts;
  for (const group_view &Group : Groups)
    for (const auto &List : Group.Lists)
      for (const held_version &Held : List)
        if (Held.Version == Version)
          Counts.insert(Held.ShardCount);
  return Counts;
}

auto service_view::heldByAll(const index_version Version,
                             const std::size_t Count, const bool Likely) const
    -> bool {
  // Shard s lives on group s mod Groups.size(): few shards need few groups.
  const std::size_t Needed = std::min(Count, Groups.size());
  for (std::size_t Index = 0; Index < Needed; ++Index) {
    const group_view &Group = Groups[Index];
    if (Group.holds({Version, Count}))
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
