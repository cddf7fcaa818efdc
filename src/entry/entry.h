#pragma once

#include "admission/poisontracker.h"
#include "entry/configrunner.h"
#include "entry/dispatchrunner.h"
#include "entry/membershiprunner.h"
#include "entry/oncerunner.h"
#include "entry/queryrunner.h"
#include "entry/subrequestrouter.h"
#include "entry/types/entrysettings.h"
#include "entry/types/entrystatus.h"
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

/// One entry instance: wires the runners to each other. Locks are listed in
/// docs/LOCK_ORDER.md; none is held while a handler of another part runs.
class entry {
public:
  explicit entry(entry_settings Settings);
  ~entry();

  /// Serves peers and follows the platform; AddressInUse or BadSetting.
  auto start() -> result<void>;

  /// Runs a caller's request; \p Done comes exactly once.
  auto query(query_request Request, bool Forwarded,
             std::function<void(query_answer)> Done) -> void;
  auto issueTickets(std::size_t Count) -> result<std::vector<std::string>>;
  auto addresses(const failure_domain &CallerDomain)
      -> result<membership::address_answer>;

  /// Runs \p Job apart from queries: it may block on the platform.
  auto postControl(transport::worker_pool::job Job) -> void;
  auto apply(const config::apply_request &Request) -> config::apply_outcome;
  auto inForce() const -> config::accepted_config;
  auto status() const -> entry_status;
  /// What a query of each contract would pin now; those without one left out.
  auto snapshots() -> std::map<contract_id, query::pinned_snapshot>;
  auto burn() const -> report::burn_report;
  auto exposition() -> std::string;

  /// Begins a planned stop. drained() tells when nothing is left to do.
  auto drain() -> void;
  auto draining() const -> bool { return Draining; }
  auto drained() -> bool;

  /// Whether nothing is queued or in flight.
  auto idle() const -> bool;

  /// Hands the final ledger to every live peer.
  auto handOver() -> void;
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

  auto onPeerLost(const instance &Peer) -> void;
  auto onSettled(const instance_id &Root, settlement Settlement) -> void;
  auto settleHere(const settlement &Settlement) -> void;
  /// Dispatches here, unless the request is held; as a suspect when it
  /// crashed a target before.
  auto runAtGroup(subrequest Request) -> void;
  auto reportCrash(const admission::crash_report &Report) -> void;
  auto tick() -> void;
  auto onMembers(const std::vector<instance> &Members) -> void;
  auto onAdopted(const config::accepted_config &Config) -> void;
  /// Those that have a configuration and so can serve.
  auto configured(std::vector<instance> All) const -> std::vector<instance>;
  auto assignOwners() -> void;
  auto runQuery(query_request Request, fingerprint Fingerprint,
                std::function<void(query_answer)> Done) -> void;
  auto held(fingerprint Fingerprint) -> bool;
  auto addressLifetime() const -> milliseconds;
  /// Since the drain began; 0 before.
  auto drainingFor() const -> time_point::duration;
  /// Whether callers that keep the lifetime have all gone.
  auto pastLifetime() const -> bool;
  auto mayStart(const contract_id &Contract) -> bool;
  auto onQueryEnd(const contract &Contract, fingerprint Fingerprint,
                  const query_answer &Answer, time_point Started) -> void;
  auto record(const query_answer &Answer, const contract_id &Contract,
              time_point Started) -> void;
  auto toLivePeers(const peer::peer_message &Message) -> void;
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
  std::mt19937_64 GateDraws;
  std::atomic<bool> Draining{false};
  std::atomic<time_point::rep> DrainingSince{0};
  int Ticks = 0; ///< touched by one tick at a time
  std::atomic<std::uint64_t> AddressSpread{0};
  std::atomic<std::uint64_t> RequestNumber{0};
  transport::worker_pool Pool;
  transport::worker_pool ControlPool;
  mutable std::mutex SenderMutex;          // rank 21
  std::map<instance_id, instance> Senders; ///< peers heard, by id
  std::unique_ptr<peer::peer_link> Peers;
  std::unique_ptr<dispatch_runner> Dispatch;
  std::unique_ptr<subrequest_router> Router;
  std::unique_ptr<query_runner> Queries;
  std::unique_ptr<once_runner> Once;
  std::unique_ptr<membership_runner> Members;
  std::unique_ptr<config_runner> Config;
};

} // namespace tarragon::entry
