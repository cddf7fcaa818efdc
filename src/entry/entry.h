#pragma once

#include "admission/poisontracker.h"
#include "entry/accountgate.h"
#include "entry/configrunner.h"
#include "entry/dispatchrunner.h"
#include "entry/membershiprunner.h"
#include "entry/oncerunner.h"
#include "entry/queryrunner.h"
#include "entry/quotarunner.h"
#include "entry/subrequestrouter.h"
#include "entry/types/entrysettings.h"
#include "entry/types/entrystatus.h"
#include "global/linelimiter.h"
#include "membership/types/addressanswer.h"
#include "peer/peerlink.h"
#include "query/loadgate.h"
#include "report/burntracker.h"
#include "report/metricsregistry.h"
#include "transport/workerpool.h"

#include <atomic>
#include <memory>
#include <random>

namespace tarragon::entry {

/// One entry instance; connects the runners to each other. docs/LOCK_ORDER.md
/// lists the locks; none is held while a handler of another part runs.
class entry {
public:
  explicit entry(entry_settings Settings);
  ~entry();

  /// Starts to serve peers and to watch the platform. Returns AddressInUse or
  /// BadSetting when the peer address can't be served.
  auto start() -> result<void>;

  /// Runs a caller's request and calls \p Done exactly once. \p Forwarded is
  /// set when another instance forwarded the request.
  auto query(query_request Request, bool Forwarded,
             std::function<void(query_answer)> Done) -> void;
  /// Issues up to \p Count tickets; NotRunDraining when none can be issued.
  auto issueTickets(std::size_t Count) -> result<std::vector<std::string>>;
  /// Returns the ranked addresses for a caller in \p CallerDomain, or
  /// NotRunIsolated when there are other members but neither they nor the
  /// platform are reachable.
  auto addresses(const failure_domain &CallerDomain)
      -> result<membership::address_answer>;

  /// Runs \p Job on the control threads, where it may block on the platform
  /// without delaying queries.
  auto postControl(transport::worker_pool::job Job) -> void;
  auto apply(const config::apply_request &Request) -> config::apply_outcome;
  auto inForce() const -> config::accepted_config;
  auto status() const -> entry_status;
  /// Returns the snapshot that a query of each contract would pin now.
  /// Contracts without one are left out.
  auto snapshots() -> std::map<contract_id, query::pinned_snapshot>;
  auto burn() const -> report::burn_report;
  auto exposition() -> std::string;

  /// Starts a planned stop: leaves the membership. Work in flight continues.
  auto drain() -> void;
  auto isDraining() const -> bool { return Draining; }
  /// Returns whether the drain is complete: the address lifetime has passed
  /// and no work is in flight, or DrainLimit has passed as well. Seals the
  /// ticket ledger once the address lifetime has passed.
  auto isDrained() -> bool;

  /// Returns whether nothing is queued or in flight.
  auto isIdle() const -> bool;

  /// Sends the sealed ticket ledger to every live peer.
  auto sendLedgerToPeers() -> void;
  auto stop() -> void;

  auto settings() const -> const entry_settings & { return Settings; }

private:
  auto onPeerMessage(const instance &From, peer::peer_message Message) -> void;
  auto handle(const instance &From, peer::dispatch_message Message) -> void;
  auto handle(const instance &From, const peer::cancel_message &Message)
      -> void;
  auto handle(const instance &From, const peer::settle_message &Message)
      -> void;
  auto handle(const instance &From, const membership::gossip_message &Message)
      -> void;
  auto handle(const instance &From, const peer::crash_message &Message) -> void;
  auto handle(const instance &From, const peer::config_request &Message)
      -> void;
  auto handle(const instance &From, const peer::config_offer &Message) -> void;
  auto handle(const instance &From, peer::ledger_message Message) -> void;
  auto handle(const instance &From, const peer::usage_message &Message) -> void;

  auto onPeerLost(const instance &Peer) -> void;
  auto onSettled(const instance_id &Coordinator, settlement Settlement) -> void;
  auto settleLocally(const settlement &Settlement) -> void;
  /// Submits the subrequest to this instance's dispatcher of its group, marked
  /// as a suspect if its fingerprint crashed a target before. A quarantined
  /// one is settled as NotRun.
  auto dispatchLocally(subrequest Request) -> void;
  auto reportCrash(const admission::crash_report &Report) -> void;
  auto tick() -> void;
  auto onMembersChanged(const std::vector<instance> &Members) -> void;
  auto onAdopted(const config::accepted_config &Config) -> void;
  /// Returns the members that have a configuration and so can serve.
  auto filterConfigured(std::vector<instance> All) const
      -> std::vector<instance>;
  auto assignOwners() -> void;
  /// Sets the account of \p Request from its key. Returns a refusal if the key
  /// is required and not valid; \p Deployment and \p Contract may be null.
  auto identifyCaller(const std::shared_ptr<const deployment> &Deployment,
                      const contract *Contract, query_request &Request)
      -> std::optional<query_answer>;
  auto logRefusedKey(const query_request &Request, std::string_view Fault)
      -> void;
  /// Takes a token of the request's account; returns a refusal if none is left.
  auto admitByQuota(const query_request &Request)
      -> std::optional<query_answer>;
  auto logOverQuota(const query_request &Request, milliseconds RetryAfter)
      -> void;
  auto onInstanceList(const std::vector<instance> &List) -> void;
  auto updateQuotaPeers() -> void;
  auto sendUsage(const address &To, account::usage_report Report) -> void;
  auto runQuery(query_request Request, std::function<void(query_answer)> Done)
      -> void;
  /// Returns whether the request is quarantined as a poison request.
  auto isQuarantined(fingerprint Fingerprint) -> bool;
  auto addressLifetime() const -> milliseconds;
  /// Returns the time since the drain started; 0 before.
  auto drainDuration() const -> time_point::duration;
  /// Returns whether the instance has been draining for the address lifetime:
  /// by then every caller that honours it has stopped using this address.
  auto addressLifetimeExpired() const -> bool;
  /// Returns whether load shedding lets a query of \p Contract start.
  auto admitQuery(const contract_id &Contract, int Priority) -> bool;
  auto onQueryEnd(const contract &Contract, fingerprint Fingerprint,
                  const query_answer &Answer, time_point Started) -> void;
  auto recordRequest(const query_answer &Answer, const contract_id &Contract,
                     time_point Started) -> void;
  auto sendToLivePeers(const peer::peer_message &Message) -> void;
  auto makePeers() -> void;
  auto makeQueries() -> void;
  auto makeControl() -> void;

  entry_settings Settings;
  report::metrics_registry Metrics;
  mutable std::mutex BurnMutex; // rank 65
  report::burn_tracker Burn;
  std::mutex PoisonMutex; // rank 46
  admission::poison_tracker Poison;
  std::mutex GateMutex; // rank 47
  query::load_gate Gate;
  std::mt19937_64 GateRandom;
  account_gate Accounts;
  std::mutex RefusalLineMutex; // rank 49
  log::line_limiter RefusalLines;
  std::atomic<bool> Draining{false};
  std::atomic<time_point::rep> DrainingSince{0};
  int TickCount = 0; ///< needs no lock: ticks never overlap
  std::atomic<std::uint64_t> AddressRotation{0};
  std::atomic<std::uint64_t> LastRequestNumber{0};
  transport::worker_pool Pool;
  transport::worker_pool ControlPool;
  mutable std::mutex SenderMutex; // rank 21
  /// Peers that sent a message, as they last described themselves.
  std::map<instance_id, instance> Senders;
  std::unique_ptr<peer::peer_link> Peers;
  std::unique_ptr<dispatch_runner> Dispatch;
  std::unique_ptr<subrequest_router> Router;
  std::unique_ptr<query_runner> Queries;
  std::unique_ptr<once_runner> Once;
  std::mutex QuotaPeersMutex; // rank 6: held while the list is made and set
  std::unique_ptr<quota_runner> Quotas;
  /// The platform lists this instance and no other.
  std::atomic<bool> IsListedAlone{false};
  std::unique_ptr<membership_runner> Members;
  std::unique_ptr<config_runner> Config;
};

} // namespace tarragon::entry
