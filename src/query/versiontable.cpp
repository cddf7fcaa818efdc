#include "query/versiontable.h"

#include "query/internal/serviceview.h"

#include <algorithm>

namespace tarragon::query {

namespace {

constexpr std::size_t MaxTargets = 8192;
constexpr std::size_t MaxIndexes = 256;
constexpr std::size_t MaxHeldVersions = 16; ///< the newest per target
constexpr milliseconds MaxFreshAge{10000};

/// Returns a view of each of the contract's services; empty if one of them
/// isn't deployed.
auto viewServices(const version_table &Table, const deployment &Deployment,
                  const contract &Contract)
    -> std::map<service_id, service_view> {
  std::map<service_id, service_view> Views;
  for (const service_id &Id : Contract.Services) {
    const service *const Service = Deployment.findService(Id);
    if (Service == nullptr || Service->Groups.empty())
      return {};
    Views.emplace(Id, service_view(Table, *Service));
  }
  return Views;
}

using shard_count_rule =
    std::optional<std::size_t> (service_view::*)(index_version) const;

/// Returns the snapshot of \p Version if \p Rule yields a shard count for every
/// service.
auto makeSnapshot(const std::map<service_id, service_view> &Views,
                  const index_version Version, const shard_count_rule Rule)
    -> std::optional<pinned_snapshot> {
  pinned_snapshot Snapshot;
  Snapshot.Version = Version;
  for (const auto &[Id, View] : Views) {
    const std::optional<std::size_t> Count = (View.*Rule)(Version);
    if (!Count)
      return std::nullopt;
    Snapshot.ShardCounts[Id] = *Count;
  }
  return Snapshot;
}

/// Returns the newest snapshot below \p Before for which \p Rule yields a shard
/// count for every service.
auto newestSnapshot(const std::map<service_id, service_view> &Views,
                    const std::set<index_version> &Versions,
                    const std::optional<index_version> Before,
                    const shard_count_rule Rule)
    -> std::optional<pinned_snapshot> {
  for (auto At = Versions.rbegin(); At != Versions.rend(); ++At) {
    if (Before && *At >= *Before)
      continue;
    if (auto Snapshot = makeSnapshot(Views, *At, Rule))
      return Snapshot;
  }
  return std::nullopt;
}

auto discoverySnapshot(const deployment &Deployment, const contract &Contract)
    -> pinned_snapshot {
  pinned_snapshot Discovery;
  Discovery.Likely = true;
  for (const service_id &Id : Contract.Services)
    Discovery.ShardCounts[Id] = Deployment.findService(Id)->Groups.size();
  return Discovery;
}

} // namespace

auto version_table::recordHeld(const target_id &Target,
                               std::vector<held_version> Held,
                               const time_point Now) -> void {
  std::erase_if(Held, [](const held_version &Version) {
    return Version.Version == 0 || Version.ShardCount == 0;
  });
  if (Held.empty())
    return;
  const auto Found = Reports.find(Target);
  if (Found != Reports.end() && Found->second.ReceivedAt > Now)
    return;
  std::sort(Held.begin(), Held.end(),
            [](const held_version &Left, const held_version &Right) {
              return Left.Version > Right.Version;
            });
  if (Held.size() > MaxHeldVersions)
    Held.resize(MaxHeldVersions);
  if (Found == Reports.end() && Reports.size() >= MaxTargets)
    dropOldestTarget();
  Reports[Target] = {std::move(Held), Now, false};
}

auto version_table::dropOldestTarget() -> void {
  const auto Oldest = std::min_element(
      Reports.begin(), Reports.end(), [](const auto &Left, const auto &Right) {
        return Left.second.ReceivedAt < Right.second.ReceivedAt;
      });
  Reports.erase(Oldest);
}

auto version_table::recordHint(const std::string &Index,
                               pinned_snapshot Snapshot) -> void {
  if (!Hints.contains(Index) && Hints.size() >= MaxIndexes)
    return;
  Hints[Index] = std::move(Snapshot);
}

auto version_table::removeTarget(const target_id &Target) -> void {
  Reports.erase(Target);
}

auto version_table::expire(const time_point Now) -> void {
  for (auto &[Target, Report] : Reports)
    Report.Stale = Report.ReceivedAt + MaxFreshAge <= Now;
}

auto version_table::pin(const deployment &Deployment, const contract &Contract,
                        const std::optional<index_version> Before) const
    -> std::optional<pinned_snapshot> {
  const auto Views = viewServices(*this, Deployment, Contract);
  if (Views.empty())
    return std::nullopt;
  std::set<index_version> Versions;
  for (const auto &[Id, View] : Views)
    Versions.merge(View.versions());
  if (auto Common = newestSnapshot(Views, Versions, Before,
                                   &service_view::commonShardCount))
    return Common;
  if (Before)
    return std::nullopt;
  if (auto Likely = newestSnapshot(Views, Versions, Before,
                                   &service_view::likelyShardCount)) {
    Likely->Likely = true;
    return Likely;
  }
  return discoverySnapshot(Deployment, Contract);
}

auto version_table::find(const deployment &Deployment, const contract &Contract,
                         const index_version Version) const
    -> std::optional<pinned_snapshot> {
  const auto Views = viewServices(*this, Deployment, Contract);
  if (Views.empty())
    return std::nullopt;
  return makeSnapshot(Views, Version, &service_view::anyShardCount);
}

auto version_table::isUnavailable(const deployment &Deployment,
                                  const contract &Contract,
                                  const index_version Version) const -> bool {
  const auto Views = viewServices(*this, Deployment, Contract);
  return std::any_of(Views.begin(), Views.end(), [Version](const auto &View) {
    return View.second.isUnavailable(Version);
  });
}

} // namespace tarragon::query
