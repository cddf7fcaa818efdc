#include "query/versiontable.h"

#include "query/internal/serviceview.h"

#include <algorithm>

namespace tarragon::query {

namespace {

constexpr std::size_t MostTargets = 8192;
constexpr std::size_t MostIndexes = 256;
constexpr std::size_t MostHeldVersions = 16; ///< newest ones of one target
constexpr milliseconds FreshFor{10000};

/// One view a service of the contract; empty when one isn't deployed.
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

using count_rule =
    std::optional<std::size_t> (service_view::*)(index_version) const;

/// The snapshot of \p Version when \p Rule gives a shard count everywhere.
auto snapshotOf(const std::map<service_id, service_view> &Views,
                const index_version Version, const count_rule Rule)
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

/// The newest snapshot below \p Before that \p Rule allows.
auto newestOf(const std::map<service_id, service_view> &Views,
              const std::set<index_version> &Versions,
              const std::optional<index_version> Before, const count_rule Rule)
    -> std::optional<pinned_snapshot> {
  for (auto At = Versions.rbegin(); At != Versions.rend(); ++At) {
    if (Before && *At >= *Before)
      continue;
    if (auto Snapshot = snapshotOf(Views, *At, Rule))
      return Snapshot;
  }
  return std::nullopt;
}

auto probeSnapshot(const deployment &Deployment, const contract &Contract)
    -> pinned_snapshot {
  pinned_snapshot Probe;
  Probe.Likely = true;
  for (const service_id &Id : Contract.Services)
    Probe.ShardCounts[Id] = Deployment.findService(Id)->Groups.size();
  return Probe;
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
  const auto Known = Said.find(Target);
  if (Known != Said.end() && Known->second.At > Now)
    return;
  std::sort(Held.begin(), Held.end(),
            [](const held_version &Left, const held_version &Right) {
              return Left.Version > Right.Version;
            });
  if (Held.size() > MostHeldVersions)
    Held.resize(MostHeldVersions);
  if (Known == Said.end() && Said.size() >= MostTargets)
    dropOldestTarget();
  Said[Target] = {std::move(Held), Now, false};
}

auto version_table::dropOldestTarget() -> void {
  const auto Oldest = std::min_element(
      Said.begin(), Said.end(), [](const auto &Left, const auto &Right) {
        return Left.second.At < Right.second.At;
      });
  Said.erase(Oldest);
}

auto version_table::recordHint(const std::string &Index,
                               pinned_snapshot Snapshot) -> void {
  if (!Hints.contains(Index) && Hints.size() >= MostIndexes)
    return;
  Hints[Index] = std::move(Snapshot);
}

auto version_table::forget(const target_id &Target) -> void {
  Said.erase(Target);
}

auto version_table::expire(const time_point Now) -> void {
  for (auto &[Target, Versions] : Said)
    Versions.Stale = Versions.At + FreshFor <= Now;
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
  if (auto Known = newestOf(Views, Versions, Before, &service_view::servedAs))
    return Known;
  if (Before)
    return std::nullopt;
  if (auto Likely =
          newestOf(Views, Versions, Before, &service_view::likelyServedAs)) {
    Likely->Likely = true;
    return Likely;
  }
  return probeSnapshot(Deployment, Contract);
}

auto version_table::find(const deployment &Deployment, const contract &Contract,
                         const index_version Version) const
    -> std::optional<pinned_snapshot> {
  const auto Views = viewServices(*this, Deployment, Contract);
  if (Views.empty())
    return std::nullopt;
  return snapshotOf(Views, Version, &service_view::heldAs);
}

auto version_table::gone(const deployment &Deployment, const contract &Contract,
                         const index_version Version) const -> bool {
  const auto Views = viewServices(*this, Deployment, Contract);
  return std::any_of(Views.begin(), Views.end(), [Version](const auto &View) {
    return View.second.gone(Version);
  });
}

} // namespace tarragon::query
