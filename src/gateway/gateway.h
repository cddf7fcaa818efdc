#pragma once

#include "admission/crashgroups.h"
#include "admission/poisontracker.h"
#include "gateway/targetpool.h"
#include "gateway/types/callerrequest.h"
#include "gateway/types/gatewaysettings.h"
#include "gateway/types/instanceshare.h"
#include "placement/latencymodel.h"
#include "placement/retrybudgettable.h"
#include "placement/targetset.h"
#include "placement/types/plansettings.h"
#include "report/metricsregistry.h"
#include "route/routetable.h"
#include "route/weightedturns.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>

namespace tarragon::gateway {

class active_request;
class caller_session;

/// Takes callers' requests and sees each through to its answer: route, plan,
/// targets, answer. All of it runs on one event loop.
class gateway {
public:
  using session_pointer = std::shared_ptr<caller_session>;
  using crash_handler = std::function<void(const admission::crash_report &)>;

  gateway(boost::asio::io_context &Loop, gateway_settings Settings,
          report::metrics_registry &Metrics);
  ~gateway();

  /// Puts \p Routes in force unless a higher version is.
  auto setRoutes(std::shared_ptr<const route::route_set> Routes) -> void;

  /// The routes in force.
  auto routes() const -> const std::vector<route::route> &;

  /// What was learned of requests on \p Route.
  auto latencies(const route::route &Route) -> placement::latency_model &;

  /// The version in force, or 0.
  auto version() const -> std::uint64_t;

  auto onRequest(const session_pointer &Session, caller_request Request)
      -> void;

  /// Takes what changed in the book of targets.
  auto applyTargets(const route::target_book::changes &Changes) -> void;

  /// With how many the budgets and the targets' connections are shared. An
  /// instance in reserve keeps to a smaller part and opens nothing ahead.
  auto setShare(instance_share Share) -> void;

  /// Requests that can't be answered by \p Until are refused from now on.
  auto endBy(time_point Until) -> void { EndsAt = Until; }

  auto requestsAtHand() const -> std::size_t { return Active.size(); }
  auto targets() -> placement::target_set & { return Targets; }
  auto loop() -> boost::asio::io_context & { return Loop; }
  auto settings() const -> const gateway_settings & { return Settings; }
  auto budgets() -> placement::retry_budget_table & { return Budgets; }
  auto metrics() -> report::metrics_registry & { return Metrics; }
  auto poison() -> admission::poison_tracker & { return Poison; }

  /// The pool of \p Target, opened when it is new.
  auto pool(const route::target_entry &Target) -> target_pool &;

  /// A timer of a request came so much too late: the processor was busy.
  auto noteLateness(std::chrono::steady_clock::duration NewLateness) -> void;

  /// The cores that requests used lately. To be asked about once a second.
  auto load() -> double;

  auto countAttempt(placement::attempt_end End) -> void;

  /// A run of \p Request at \p Target broke off: whether the target crashed
  /// under it shows in whether it still takes connections.
  auto checkCrash(const std::string &Target, fingerprint Request) -> void;

  /// About \p Time, for callers that are told to come back.
  auto jittered(milliseconds Time) -> milliseconds;

  /// To be called when a target crashed under a request.
  auto setCrashHandler(crash_handler NewHandler) -> void {
    CrashHandler = std::move(NewHandler);
  }

  /// The limits on extra attempts that all instances share.
  auto setRetries(const placement::retry_limits &Retries) -> void;

  /// An active request has its answer.
  auto release(const std::shared_ptr<active_request> &Request) -> void;

private:
  struct refusal {
    unsigned Status = 503;
    std::string_view Why;
    milliseconds RetryAfter{0};
  };

  auto refuse(const session_pointer &Session, const caller_request &Request,
              const refusal &Refusal) -> void;
  auto waitOf(const caller_request &Request, const route::route &Route) const
      -> milliseconds;
  auto planFor(const route::route &Route, const caller_request &Request)
      -> placement::plan_settings;
  auto usualLateness() const -> microseconds;
  auto endsTooSoon(const route::route &Route, time_point Now) -> bool;
  auto sweep() -> void;
  auto judgeCrashes(time_point Now) -> void;
  auto warmPools() -> void;
  auto reportTargets(const route::target_book::changes &Changes) -> void;

  boost::asio::io_context &Loop;
  gateway_settings Settings;
  report::metrics_registry &Metrics;
  placement::target_set Targets;
  placement::retry_budget_table Budgets;
  admission::crash_groups Crashes;
  admission::poison_tracker Poison;
  route::weighted_turns Turns;
  std::shared_ptr<const route::route_table> Table;
  std::map<std::string, placement::latency_model> Latencies; ///< by route
  std::mt19937_64 Random;
  crash_handler CrashHandler;
  std::unordered_map<std::string, std::unique_ptr<target_pool>> Pools;
  std::unordered_set<std::shared_ptr<active_request>> Active;
  placement::latency_model Lateness{milliseconds(0)};
  std::map<placement::attempt_end, report::metric_counter *> AttemptCounters;
  std::uint64_t Exchanges = 0; ///< since LoadAskedAt
  time_point LoadAskedAt;
  double Load = 0;
  boost::asio::steady_timer SweepTimer;
  std::optional<time_point> EndsAt;
  instance_share Share;
  bool Warmed = false;        ///< first connections were opened
  time_point ShareChanged;    ///< when peers last came or went
  int SharedBudgets = 1;      ///< most instances that shared them lately
  time_point SharedBudgetsAt; ///< when so many did last
  time_point WarmFrom;        ///< the peers are known by then
};

} // namespace tarragon::gateway
