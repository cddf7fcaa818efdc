#pragma once

#include "account/types/quotapeers.h"
#include "admission/crashgroups.h"
#include "admission/poisontracker.h"
#include "gateway/connectionpool.h"
#include "gateway/queryrefusals.h"
#include "gateway/types/callerrequest.h"
#include "gateway/types/gatewaysettings.h"
#include "gateway/types/servingstate.h"
#include "global/linelimiter.h"
#include "placement/latencymodel.h"
#include "placement/queryadmission.h"
#include "placement/retrybudgettable.h"
#include "placement/targetset.h"
#include "placement/types/plansettings.h"
#include "report/metricsregistry.h"
#include "route/routetable.h"
#include "route/weightedroundrobin.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace tarragon::account {

class account_table;
class fair_share;
class quota_ledger;
struct relayed_report;
struct usage_report;

} // namespace tarragon::account

namespace tarragon::gateway {

class account_counts;
class active_request;
class caller_session;
class quota_gate;

/// Routes callers' requests, runs the plan of each against the targets and
/// sends the answer. Not thread-safe: everything runs on one event loop.
class gateway {
public:
  using session_pointer = std::shared_ptr<caller_session>;
  using crash_handler = std::function<void(const admission::crash_report &)>;
  using leaving_handler =
      std::function<void(const std::string &Target, std::int64_t StartedAtMs)>;

  using usage_handler = std::function<void(const account::usage_report &Report,
                                           const std::vector<address> &Others)>;

  using relay_handler = std::function<void(const account::relayed_report &)>;

  gateway(boost::asio::io_context &Loop, gateway_settings Settings,
          report::metrics_registry &Metrics);
  ~gateway();

  /// Puts \p Routes in force if their version is higher than that of the routes
  /// in force.
  auto setRoutes(std::shared_ptr<const route::route_set> Routes) -> void;

  /// Returns the routes in force; empty before the first setRoutes().
  auto routes() const -> const std::vector<route::route> &;

  /// Returns the route of \p Request in the version in force, or null.
  auto findRoute(const caller_request &Request) const -> const route::route *;

  /// Returns the settings of a plan for \p Request on \p Route, of a route to
  /// single services without the one that is chosen for it.
  auto planFor(const route::route &Route, const caller_request &Request) const
      -> placement::plan_settings;

  /// Returns whether this instance is expected to stop before it has answered
  /// \p Request.
  auto stopsBeforeAnswer(const route::route &Route,
                         const caller_request &Request, time_point Now) -> bool;

  /// Returns the client accounts in force, or null if requests need no key.
  auto accounts() const -> const std::vector<route::account> *;

  /// Returns the counts of requests by client account.
  auto accountCounts() -> account_counts & { return *AccountCounts; }

  /// Returns the latency statistics of \p Route.
  auto latencies(const route::route &Route) -> placement::latency_model &;

  /// Returns the version of the routes in force, or 0.
  auto version() const -> std::uint64_t;

  /// Starts processing \p Request, or refuses it at once. The answer is sent on
  /// \p Session.
  auto onRequest(const session_pointer &Session, caller_request Request)
      -> void;

  /// Applies changes of the target registry.
  auto applyTargets(const route::target_registry::changes &Changes) -> void;

  /// Sends nothing more to targets in the failure domains \p Domains, and again
  /// to those in domains that were evacuated before.
  auto setEvacuated(std::set<std::string> Domains) -> void;

  /// Sets the instances over which the requests to cold targets are divided; to
  /// be called at least once a second.
  auto setInstances(const placement::instance_view &View) -> void;

  /// Sets the number of instances that share the retry budgets and the targets'
  /// connections. An instance that is not serving gets a smaller share and
  /// opens no connections in advance.
  auto setServing(serving_state Serving) -> void;

  /// Finds out whether the machine was suspended since the last call, in which
  /// the steady clock stood still; see onSuspended().
  auto checkSuspension() -> void;

  /// Brings the deadlines of all requests forward by \p Span, since their
  /// callers' time went on, and ends those whose deadline has passed.
  auto onSuspended(milliseconds Span) -> void;

  /// When an instance that stops ends its service.
  struct stop_times {
    /// All callers that follow the directory have left by then.
    time_point CallersGone;
    time_point End;
  };

  /// Refuses all further requests that probably can't be answered before the
  /// end. Once the callers have left, also those that may not be repeated and
  /// might still be running at the end: their callers would not learn whether
  /// they ran.
  auto prepareStop(stop_times Times) -> void { Stop = Times; }

  /// Answers all requests in flight: with the parts received, if they are
  /// enough, or that they have not run, or that this is unknown.
  auto endRequests() -> void;

  auto requestsInFlight() const -> std::size_t { return Active.size(); }
  auto targets() -> placement::target_set & { return Targets; }
  auto loop() -> boost::asio::io_context & { return Loop; }
  auto settings() const -> const gateway_settings & { return Settings; }
  auto budgets() -> placement::retry_budget_table & { return Budgets; }
  auto admission() -> placement::query_admission & { return Admission; }
  auto shares() -> account::fair_share & { return *Shares; }
  auto queryRefusals() -> query_refusals & { return QueryRefusals; }
  auto metrics() -> report::metrics_registry & { return Metrics; }
  auto poison() -> admission::poison_tracker & { return Poison; }
  auto memory() const -> const receive_budget & { return *Memory; }

  /// Returns the connection pool of \p Target, which is created on first use.
  auto pool(const route::target_entry &Target) -> connection_pool &;

  /// Records by how much a request's timer fired too late, because the
  /// processor was busy.
  auto recordLateness(std::chrono::steady_clock::duration Delay) -> void;

  /// Returns the smoothed estimate of the cores used by requests. Each call
  /// ends a measuring interval; to be called about once a second.
  auto usedCores() -> double;

  /// Counts an attempt that ended with \p End.
  auto countAttempt(placement::attempt_end End) -> void;

  /// Opens a probe connection to the target of \p Run, which broke off. The
  /// target counts as crashed if the connection can't be established.
  auto checkCrash(admission::crashed_run Run) -> void;

  /// Returns \p Time with jitter, for the Retry-After of refused callers.
  auto jittered(milliseconds Time) -> milliseconds;

  /// Sets the handler that receives the reports of target crashes.
  auto setCrashHandler(crash_handler NewHandler) -> void {
    CrashHandler = std::move(NewHandler);
  }

  /// Sets the handler that receives the targets that said that they leave, with
  /// the start of their incarnation.
  auto setLeavingHandler(leaving_handler NewHandler) -> void {
    LeavingHandler = std::move(NewHandler);
  }

  /// Handles what a target's answer says about the target itself: that it
  /// leaves, or that it wants no requests for a while. \p StartedAtMs is the
  /// start of the incarnation that the request was sent to.
  auto recordNotices(const std::string &Target, std::int64_t StartedAtMs,
                     const exchange_answer &Answer) -> void;

  /// Records the load that a target reports in an answer; an invalid report is
  /// ignored.
  auto recordLoad(const std::string &Target, std::int64_t StartedAtMs,
                  const exchange_answer &Answer) -> void;

  /// Stops sending new requests to the incarnation of \p Target that started at
  /// \p StartedAtMs.
  auto markLeaving(const std::string &Target, std::int64_t StartedAtMs) -> void;

  /// Sets the limits on extra attempts, which are shared by all instances.
  auto setRetryLimits(const placement::retry_limits &Retries) -> void;

  /// Sets the limits of the quotas; without a value, there are none.
  auto setQuota(const std::optional<account::quota_limits> &Limits) -> void;

  /// Sets the instances that share the quotas.
  auto setQuotaPeers(const account::quota_peers &Peers) -> void;

  /// Sets the handler that sends reports of usage to the serving instances and
  /// to others.
  auto setUsageHandler(usage_handler NewHandler) -> void {
    UsageHandler = std::move(NewHandler);
  }

  /// Sets the handler that sends reports of usage to single instances.
  auto setRelayHandler(relay_handler NewHandler) -> void {
    RelayHandler = std::move(NewHandler);
  }

  /// Returns the ledger of the quotas, or null if there are none.
  auto quotas() -> account::quota_ledger *;

  /// Removes an active request that has ended.
  auto release(const std::shared_ptr<active_request> &Request) -> void;

private:
  struct refusal {
    unsigned Status = 503;
    std::string_view Why;
    milliseconds RetryAfter{0};
  };

  auto refuse(const session_pointer &Session, const caller_request &Request,
              const refusal &Refusal) -> void;
  /// Builds the table of the accounts in force and logs its problems.
  auto setAccounts(const std::shared_ptr<const route::route_set> &Routes)
      -> void;
  /// Finds the account of \p Request, which is null if none is known and none
  /// is needed. Refuses the request and returns false if it has no valid key.
  auto authenticate(const session_pointer &Session,
                    const caller_request &Request, const route::route &Route,
                    const route::account *&Account) -> bool;
  auto refuseKey(const session_pointer &Session, const caller_request &Request,
                 const route::route &Route, std::string_view Cause) -> void;
  auto updateQuotaAccounts() -> void;
  /// Takes a token of \p Account; refuses the request and returns false if none
  /// is left.
  auto admitByQuota(const session_pointer &Session,
                    const caller_request &Request, const route::route &Route,
                    const route::account *Account, time_point Now) -> bool;
  /// Refuses a query of an account beyond its usual share, and returns false,
  /// if queries are refused or late.
  auto admitByShare(const session_pointer &Session,
                    const caller_request &Request, const route::route &Route,
                    const route::account *Account, time_point Now) -> bool;
  /// Returns the token of a request that has not run.
  auto refundQuota(const active_request &Request) -> void;
  auto reportUsage(time_point Now) -> void;
  auto requestTimeout(const caller_request &Request,
                      const route::route &Route) const -> milliseconds;
  auto tailLateness() const -> microseconds;
  /// Returns a copy, since a request that ends is removed from the set.
  auto activeRequests() const -> std::vector<std::shared_ptr<active_request>>;
  auto sweep() -> void;
  auto publishCrashes(time_point Now) -> void;
  auto warmPools() -> void;
  auto reportTargets(const route::target_registry::changes &Changes) -> void;
  /// Uses the remaining cold time that an answer of \p Target states.
  auto recordCold(const std::string &Target, std::int64_t StartedAtMs,
                  const exchange_answer &Answer) -> void;
  /// Logs the cold targets that have a bound, and this instance's share, where
  /// they changed.
  auto reportCold(time_point Now) -> void;
  /// Drops the connections of targets that changed; those that aren't
  /// established yet must not reach an evacuated target.
  auto dropPools(const route::target_registry::changes &Changes) -> void;

  boost::asio::io_context &Loop;
  gateway_settings Settings;
  report::metrics_registry &Metrics;
  /// Of the answers of all targets.
  std::shared_ptr<receive_budget> Memory;
  placement::target_set Targets;
  placement::retry_budget_table Budgets;
  placement::query_admission Admission;
  query_refusals QueryRefusals;
  admission::crash_groups Crashes;
  admission::poison_tracker Poison;
  route::weighted_round_robin RoundRobin;
  std::shared_ptr<const route::route_table> Table;
  std::unique_ptr<const account::account_table> Accounts; ///< of the same set
  std::map<std::string, placement::latency_model> Latencies; ///< by route
  std::mt19937_64 Random;
  log::line_limiter RefusedKeyLines;
  std::unique_ptr<account_counts> AccountCounts;
  std::unique_ptr<account::fair_share> Shares;
  log::line_limiter ShareLines;
  std::unique_ptr<quota_gate> Quotas; ///< null: there are none
  account::quota_peers QuotaPeers;
  usage_handler UsageHandler;
  relay_handler RelayHandler;
  crash_handler CrashHandler;
  leaving_handler LeavingHandler;
  std::unordered_map<std::string, std::unique_ptr<connection_pool>> Pools;
  std::unordered_set<std::shared_ptr<active_request>> Active;
  placement::latency_model Lateness{milliseconds(0)};
  std::map<placement::attempt_end, report::metric_counter *> AttemptCounters;
  /// Rates that this instance may send to cold targets, as reported last.
  std::map<std::string, double> ColdShares;
  /// Of the clock that runs through a suspension, relative to the steady one.
  std::chrono::steady_clock::duration ClockOffset;
  std::uint64_t Exchanges = 0; ///< since UsedCoresReadAt
  time_point UsedCoresReadAt;
  double UsedCores = 0;
  boost::asio::steady_timer SweepTimer;
  std::optional<stop_times> Stop;
  serving_state Serving;
  bool Warmed = false;          ///< initial connections were opened
  time_point ServingChangedAt;  ///< when the set of serving instances changed
  int BudgetInstances = 1;      ///< maximum of recent ServingInstances
  time_point BudgetInstancesAt; ///< when that many were last serving
  time_point WarmNotBefore;     ///< peers have been discovered by then
};

} // namespace tarragon::gateway
