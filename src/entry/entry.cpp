#include "entry/entry.h"

#include "entry/refusedanswer.h"
#include "global/hash.h"
#include "global/log.h"
#include "membership/addressranking.h"
#include "membership/ownermap.h"

#include <algorithm>

namespace tarragon::entry {

namespace {

constexpr int ControlThreads = 2;
constexpr milliseconds TickPeriod{1000};
constexpr int TicksPerRotation = 60;
/// Quarantine of poison requests until a configuration is in force.
constexpr milliseconds DefaultPoisonHold{600000};
constexpr std::size_t RefusalLinesPerSecond = 5;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// Callers must not be able to construct keys whose hashes are equal.
auto makeAccountSeed() -> std::uint64_t {
  std::random_device Device;
  return std::uniform_int_distribution<std::uint64_t>()(Device);
}

} // namespace

entry::entry(entry_settings Settings)
    : Settings(std::move(Settings)), Poison(DefaultPoisonHold),
      GateRandom(
          hash64(this->Settings.Self.Id, this->Settings.Self.Incarnation)),
      Accounts(makeAccountSeed()), RefusalLines(RefusalLinesPerSecond),
      Pool(this->Settings.Workers), ControlPool(ControlThreads) {
  makePeers();
  makeQueries();
  makeControl();
}

entry::~entry() { stop(); }

auto entry::makePeers() -> void {
  Peers = std::make_unique<peer::peer_link>(
      Settings.Self,
      peer::peer_link::handlers{
          [this](const instance &From, peer::peer_message Message) {
            onPeerMessage(From, std::move(Message));
          },
          [this](instance Peer, const std::vector<peer::peer_message> &) {
            Pool.post([this, Peer = std::move(Peer)] { onPeerLost(Peer); });
          }});
}

auto entry::makeQueries() -> void {
  Dispatch = std::make_unique<dispatch_runner>(
      Settings.Self, Pool,
      dispatch_runner::handlers{
          [this](const instance_id &Coordinator, settlement Settlement) {
            onSettled(Coordinator, std::move(Settlement));
          },
          [this](const admission::crash_report &Report) {
            reportCrash(Report);
          }});
  Router = std::make_unique<subrequest_router>(
      Settings.Self.Id,
      subrequest_router::handlers{
          [this](subrequest Request) { dispatchLocally(std::move(Request)); },
          [this](const query::cancel_subrequest &Cancel) {
            Dispatch->cancel(Cancel.Id, Settings.Self.Id, Cancel.Group);
          },
          [this](const instance &Owner, subrequest Request) {
            Peers->send(Owner, peer::dispatch_message{std::move(Request)});
          },
          [this](const instance &Owner, const query::cancel_subrequest &C) {
            Peers->send(Owner, peer::cancel_message{C.Id, C.Group});
          }});
  Queries = std::make_unique<query_runner>(
      Settings.Self.Id, Settings.Self.Incarnation, Pool,
      query_runner::handlers{
          [this](subrequest Request) { Router->send(std::move(Request)); },
          [this](const query::cancel_subrequest &Cancel) {
            Router->cancel(Cancel);
          }});
  Once = std::make_unique<once_runner>(
      Settings,
      [this](query_request Request, once_runner::completion Done) {
        runQuery(std::move(Request), std::move(Done));
      },
      [this](const instance_id &Id) { return Members->find(Id); });
}

auto entry::makeControl() -> void {
  Members = std::make_unique<membership_runner>(
      Settings, Pool,
      membership_runner::handlers{
          [this](const instance &To, membership::gossip_message Message) {
            Peers->send(To, std::move(Message));
          },
          [this](const std::vector<instance> &All) { onMembersChanged(All); },
          [this](const instance &Peer, config_version) {
            Peers->send(Peer, peer::config_request{inForce().Version});
          }});
  Quotas = std::make_unique<quota_runner>(
      Settings.Quotas, Pool,
      [this](const address &To, account::usage_report Report) {
        sendUsage(To, std::move(Report));
      });
  Config = std::make_unique<config_runner>(
      Settings,
      config_runner::handlers{
          [this](const config::accepted_config &New) { onAdopted(New); },
          [this](const std::vector<instance> &List) { onInstanceList(List); },
          [this](const std::set<target_id> &Leaving,
                 const std::set<target_id> &Live) {
            Dispatch->setTargetStates(Leaving, Live);
            Queries->removeTargets(Leaving);
          },
          [this](const std::string &Index, query::pinned_snapshot Snapshot) {
            Queries->recordListedSnapshot(Index, std::move(Snapshot));
          }});
}

auto entry::start() -> result<void> {
  if (const auto Served = Peers->start(); !Served)
    return Served.error();
  Members->start();
  Config->start();
  tick();
  return succeed();
}

auto entry::tick() -> void {
  Queries->expireVersions();
  if (++TickCount % TicksPerRotation == 0)
    Metrics.rotate();
  Pool.postAt(now() + TickPeriod, [this] { tick(); });
}

auto entry::stop() -> void {
  Config->stop();
  ControlPool.stop();
  Pool.stop();
  Peers->stop();
}

auto entry::issueTickets(const std::size_t Count)
    -> result<std::vector<std::string>> {
  auto Tickets = Once->issue(Count);
  if (Tickets.empty())
    return fail(result_code::NotRunDraining,
                "this instance issues no tickets at present");
  return Tickets;
}

auto entry::addresses(const failure_domain &CallerDomain)
    -> result<membership::address_answer> {
  const auto All = Members->members();
  const bool Alone = All.size() <= 1;
  if (!Alone && !Members->reachesPeers() && !Config->reachesPlatform())
    return fail(result_code::NotRunIsolated, "");
  return membership::rankAddresses(filterConfigured(All), CallerDomain,
                                   ++AddressRotation, addressLifetime());
}

auto entry::postControl(transport::worker_pool::job Job) -> void {
  ControlPool.post(std::move(Job));
}

auto entry::apply(const config::apply_request &Request)
    -> config::apply_outcome {
  return Config->apply(Request);
}

auto entry::inForce() const -> config::accepted_config {
  return Config->inForce();
}

auto entry::burn() const -> report::burn_report {
  const std::lock_guard Lock(BurnMutex);
  return Burn.report(now());
}

auto entry::onMembersChanged(const std::vector<instance> &) -> void {
  assignOwners();
  updateQuotaPeers();
}

auto entry::onAdopted(const config::accepted_config &New) -> void {
  Dispatch->reconfigure(*New.Deployment, New.Version);
  {
    const std::lock_guard Lock(PoisonMutex);
    Poison.setQuarantineTime(New.Deployment->PoisonHold);
  }
  Members->setConfig(New.Version);
  assignOwners();
  updateQuotaPeers();
  Quotas->setAccounts(
      New.Deployment->Accounts.value_or(std::vector<route::account>{}));
  {
    const std::lock_guard Lock(BurnMutex);
    Burn.setContracts(New.Deployment->Contracts);
  }
}

auto entry::filterConfigured(std::vector<instance> All) const
    -> std::vector<instance> {
  const auto Announced = Members->announcedConfigs();
  std::erase_if(All, [&](const instance &Member) {
    if (Member.Id == Settings.Self.Id)
      return inForce().Version == 0;
    const auto Found = Announced.find(Member.Id);
    return Found == Announced.end() || Found->second.Version == 0;
  });
  return All;
}

auto entry::assignOwners() -> void {
  const auto Current = Config ? inForce().Deployment : nullptr;
  if (!Current)
    return;
  const auto All = filterConfigured(Members->members());
  std::map<group_id, instance> Owners;
  std::set<group_id> Owned;
  for (const service &Service : Current->Services)
    for (const replica_group &Group : Service.Groups) {
      const auto Owner = membership::ownerOf(Group, All);
      for (const instance &Member : All)
        if (Owner && Member.Id == *Owner)
          Owners[Group.Id] = Member;
      if (Owner && *Owner == Settings.Self.Id)
        Owned.insert(Group.Id);
    }
  Router->setOwners(std::move(Owners));
  Dispatch->setOwned(Owned);
}

} // namespace tarragon::entry
