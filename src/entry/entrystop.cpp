// Status, metrics and the drain of an entry instance.
#include "entry/entry.h"

#include "global/log.h"

namespace tarragon::entry {

namespace {

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto callKindName(const store::call_kind Kind) -> const char * {
  switch (Kind) {
  case store::call_kind::Get:
    return "get";
  case store::call_kind::Put:
    return "put";
  case store::call_kind::Remove:
    return "remove";
  case store::call_kind::List:
    return "list";
  case store::call_kind::Watch:
    return "watch";
  case store::call_kind::Instances:
    return "instances";
  }
  return "unknown";
}

auto formatHeardAgo(const time_point At) -> std::string {
  const auto Elapsed = std::chrono::duration_cast<milliseconds>(now() - At);
  return "heard " + std::to_string(Elapsed.count()) + "ms ago";
}

} // namespace

auto entry::status() const -> entry_status {
  entry_status Status;
  Status.Instance = Settings.Self.Id;
  Status.Config = inForce().Version;
  Status.Draining = Draining;
  Status.RefusalReason = Config->refusal();
  Status.ReachesPlatform = Config->reachesPlatform();
  Status.ReachesPeers = Members->reachesPeers();
  const auto Announced = Members->announcedConfigs();
  for (const instance &Member : Members->members()) {
    member_status Row{Member, 0, "never heard"};
    const auto Found = Announced.find(Member.Id);
    if (Member.Id == Settings.Self.Id)
      Row = {Member, Status.Config, "self"};
    else if (Found != Announced.end())
      Row = {Member, Found->second.Version, formatHeardAgo(Found->second.At)};
    Status.Members.push_back(std::move(Row));
  }
  return Status;
}

auto entry::snapshots() -> std::map<contract_id, query::pinned_snapshot> {
  std::map<contract_id, query::pinned_snapshot> Pinned;
  const auto Current = inForce().Deployment;
  if (!Current)
    return Pinned;
  for (const contract &Contract : Current->Contracts)
    if (auto Snapshot = Queries->snapshotFor(*Current, Contract))
      Pinned.emplace(Contract.Id, std::move(*Snapshot));
  return Pinned;
}

auto entry::exposition() -> std::string {
  Metrics.gauge("tarragon_config_version")
      .set(static_cast<double>(inForce().Version));
  Metrics.gauge("tarragon_queries_running")
      .set(static_cast<double>(Queries->running()));
  Metrics.gauge("tarragon_tickets_remembered")
      .set(static_cast<double>(Once->size()));
  Metrics.gauge("tarragon_target_connections_opened")
      .set(static_cast<double>(Dispatch->connectionsOpened()));
  Metrics.gauge("tarragon_peer_bytes_sent")
      .set(static_cast<double>(Peers->bytesSent()));
  const auto Calls = Config->callCounts();
  for (std::size_t Kind = 0; Kind < Calls.ByKind.size(); ++Kind) {
    const report::metric_labels Labels{
        {"kind", callKindName(static_cast<store::call_kind>(Kind))}};
    Metrics.gauge("tarragon_platform_calls", Labels)
        .set(static_cast<double>(Calls.ByKind[Kind].Sent));
    Metrics.gauge("tarragon_platform_calls_failed", Labels)
        .set(static_cast<double>(Calls.ByKind[Kind].Failed));
  }
  Metrics.gauge("tarragon_draining").set(Draining ? 1 : 0);
  return Metrics.exposition();
}

auto entry::drain() -> void {
  if (Draining.exchange(true))
    return;
  DrainingSince = now().time_since_epoch().count();
  log::write(log::level::Info, log::part::Entry, "drain started");
  Members->leave();
  updateQuotaPeers();
}

auto entry::addressLifetime() const -> milliseconds {
  const auto Current = inForce().Deployment;
  return Current ? Current->AddressLifetime : deployment{}.AddressLifetime;
}

auto entry::drainDuration() const -> time_point::duration {
  const time_point Since{time_point::duration{DrainingSince.load()}};
  return Draining ? now() - Since : time_point::duration{0};
}

auto entry::addressLifetimeExpired() const -> bool {
  return Draining && drainDuration() >= addressLifetime();
}

auto entry::isDrained() -> bool {
  // Callers may still use addresses that were returned just before the drain.
  if (!addressLifetimeExpired())
    return false;
  Once->seal();
  if (drainDuration() > addressLifetime() + Settings.DrainLimit)
    return true;
  return isIdle() && Once->isFinal();
}

auto entry::isIdle() const -> bool {
  return Queries->running() == 0 && Dispatch->idle();
}

auto entry::sendLedgerToPeers() -> void {
  sendToLivePeers(peer::ledger_message{Once->sealedCopy()});
}

} // namespace tarragon::entry
