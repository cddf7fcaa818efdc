#include "gateway/gateway.h"

#include "account/accounttable.h"
#include "account/fairshare.h"
#include "account/priority.h"
#include "gateway/accountcounts.h"
#include "gateway/activerequest.h"
#include "gateway/callersession.h"
#include "gateway/internal/answerwriter.h"
#include "gateway/quotagate.h"
#include "global/boottime.h"
#include "global/log.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace tarragon::gateway {

namespace {

constexpr milliseconds SweepPeriod{100};
/// Processor time per exchange with a target, including its part of the
/// request.
constexpr microseconds ExchangeProcessorTime{250};
constexpr double UsedCoresSmoothing = 0.5;
/// An instance that is not serving gets a serving instance's share divided by
/// this.
constexpr int NonServingDivisor = 3;
/// Instances that start together discover each other before they open
/// connections to the targets.
constexpr milliseconds PeerDiscoveryTime{400};
constexpr milliseconds PoisonHold{30000};
constexpr milliseconds RetryWithoutRoutes{250};
constexpr milliseconds RetryElsewhere{20};
/// Time reserved before the deadline to deliver the answer to the caller.
constexpr milliseconds MaxDeliveryTime{25};
constexpr milliseconds MinEarlyMargin{25};
/// Answers of targets that are being received or are kept for a request.
constexpr std::size_t MaxAnswerBytes = 33554432;
constexpr double ShareTolerance = 1e-9;
/// Enough to see a cause; callers with a withdrawn key may send many requests.
constexpr std::size_t RefusedKeyLinesPerSecond = 3;
constexpr std::size_t ShareLinesPerSecond = 3;

auto parseMilliseconds(const caller_request &Request, const std::string &Name)
    -> std::optional<milliseconds> {
  const std::string *Text = findField(Request.Headers, Name);
  if (!Text)
    return std::nullopt;
  std::int64_t Count = 0;
  const char *End = Text->data() + Text->size();
  const auto Read = std::from_chars(Text->data(), End, Count);
  if (Read.ec != std::errc() || Read.ptr != End || Count < 0)
    return std::nullopt;
  return milliseconds(Count);
}

auto minParts(const route::route &Route) -> std::size_t {
  const double Exact =
      Route.MinShardShare * static_cast<double>(Route.Shards.size());
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(std::ceil(Exact - ShareTolerance)));
}

} // namespace

gateway::gateway(boost::asio::io_context &NewLoop, gateway_settings NewSettings,
                 report::metrics_registry &NewMetrics)
    : Loop(NewLoop), Settings(std::move(NewSettings)), Metrics(NewMetrics),
      Memory(std::make_shared<receive_budget>(MaxAnswerBytes)),
      Targets(Settings.FailureDomain),
      Budgets(std::chrono::steady_clock::now()), QueryRefusals(NewMetrics),
      Poison(PoisonHold, std::random_device()()),
      Random(std::random_device()()), RefusedKeyLines(RefusedKeyLinesPerSecond),
      AccountCounts(std::make_unique<account_counts>(NewMetrics)),
      Shares(std::make_unique<account::fair_share>()),
      ShareLines(ShareLinesPerSecond),
      ClockOffset(bootTime() - std::chrono::steady_clock::now()),
      SweepTimer(NewLoop),
      WarmNotBefore(std::chrono::steady_clock::now() + PeerDiscoveryTime) {
  Targets.setSpreadSeed(Random());
  Budgets.setLimits(Settings.Retries);
  BudgetInstances = Settings.Retries.Instances;
  BudgetInstancesAt = std::chrono::steady_clock::now();
  Targets.setConnectionLimits({}, Settings.Retries.Instances);
  Targets.cold().setSelf(Settings.CallerAddress, Settings.IsOnlyInstance);
  Targets.cold().setLimits(Settings.ColdLimits);
  UsedCoresReadAt = std::chrono::steady_clock::now();
  setQuota(Settings.Quota);
  sweep();
}

gateway::~gateway() = default;

auto gateway::version() const -> std::uint64_t {
  return Table ? Table->set().Version : 0;
}

auto gateway::setRoutes(std::shared_ptr<const route::route_set> Routes)
    -> void {
  if (Routes->Version <= version())
    return;
  Targets.setConnectionLimits(Routes->MaxConnections, Targets.instances());
  Targets.setColdStarts(Routes->ColdStarts, std::chrono::steady_clock::now());
  for (auto At = Latencies.begin(); At != Latencies.end();) {
    const bool Kept = std::any_of(
        Routes->Routes.begin(), Routes->Routes.end(),
        [&](const route::route &Route) { return Route.Name == At->first; });
    At = Kept || !Active.empty() ? std::next(At) : Latencies.erase(At);
  }
  setAccounts(Routes);
  Table = std::make_shared<route::route_table>(std::move(Routes));
  updateQuotaAccounts();
  log::write(log::level::Info, log::part::Config, "routes in force",
             {{"version", std::to_string(version())}});
  warmPools();
}

auto gateway::routes() const -> const std::vector<route::route> & {
  static const std::vector<route::route> None;
  return Table ? Table->set().Routes : None;
}

auto gateway::setRetryLimits(const placement::retry_limits &Retries) -> void {
  Settings.Retries = Retries;
  placement::retry_limits Limits = Retries;
  Limits.Instances = Budgets.limits().Instances;
  Budgets.setLimits(Limits);
}

auto gateway::setServing(const serving_state NewState) -> void {
  const auto Now = std::chrono::steady_clock::now();
  // The extra attempts of a lost instance still count within the window, so
  // the shares of the remaining instances grow only after that.
  if (NewState.ServingInstances >= BudgetInstances ||
      Now - BudgetInstancesAt > 2 * Settings.Retries.Window) {
    BudgetInstances = NewState.ServingInstances;
    BudgetInstancesAt = Now;
  }
  placement::retry_limits Limits = Budgets.limits();
  const int Divisor = NewState.IsServing ? 1 : NonServingDivisor;
  Limits.Instances = BudgetInstances * Divisor;
  if (Limits != Budgets.limits())
    Budgets.setLimits(Limits);
  if (NewState == Serving)
    return;
  Serving = NewState;
  ServingChangedAt = Now;
  Warmed = false;
  if (!Serving.IsServing)
    for (auto &[Id, Pool] : Pools)
      Pool->closeFree();
  Targets.setConnectionLimits(Table ? Table->set().MaxConnections
                                    : std::map<std::string, int>{},
                              Serving.ServingInstances * Divisor);
  log::write(log::level::Info, log::part::Membership, "share changed",
             {{"serving", std::to_string(Serving.ServingInstances)},
              {"serves", Serving.IsServing ? "yes" : "no"}});
}

auto gateway::applyTargets(const route::target_registry::changes &Changes)
    -> void {
  Targets.apply(Changes, std::chrono::steady_clock::now());
  dropPools(Changes);
  reportTargets(Changes);
  warmPools();
}

auto gateway::reportTargets(const route::target_registry::changes &Changes)
    -> void {
  std::string Usable;
  std::string Unusable;
  for (const route::target_registry::change &Change : Changes) {
    if (Change.OnlyCold)
      continue;
    std::string &Ids = Change.Usable ? Usable : Unusable;
    Ids += (Ids.empty() ? "" : ",") + Change.Id;
  }
  if (!Usable.empty() || !Unusable.empty())
    log::write(log::level::Info, log::part::Membership, "targets changed",
               {{"get_work", Usable}, {"get_none", Unusable}});
}

auto gateway::warmPools() -> void {
  if (!Table || !Serving.IsServing || !Warmed)
    return;
  for (const auto &[Service, MaxConnections] : Table->set().MaxConnections)
    for (const route::target_entry *Entry : Targets.registry().usable(Service))
      pool(*Entry).warm();
}

auto gateway::pool(const route::target_entry &Target) -> connection_pool & {
  auto &Pool = Pools[Target.Id];
  const int MaxConnections = Targets.connectionShare(Target.Service);
  if (!Pool) {
    boost::system::error_code Error;
    const auto Address = boost::asio::ip::make_address(Target.Ip, Error);
    Pool = std::make_unique<connection_pool>(
        Loop, http_connection::endpoint(Address, Target.Port), MaxConnections,
        Memory);
  }
  Pool->setMaxConnections(MaxConnections);
  return *Pool;
}

auto gateway::sweep() -> void {
  checkSuspension();
  const auto Now = std::chrono::steady_clock::now();
  publishCrashes(Now);
  reportUsage(Now);
  for (auto &[Id, Pool] : Pools)
    Pool->sweep(Now);
  if (Table && !Warmed && Now >= WarmNotBefore &&
      Now >= ServingChangedAt + PeerDiscoveryTime) {
    Warmed = true;
    warmPools();
  }
  const auto Changes = Targets.registry().expire(Now);
  if (!Changes.empty())
    applyTargets(Changes);
  SweepTimer.expires_after(SweepPeriod);
  SweepTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      sweep();
  });
}

auto gateway::latencies(const route::route &Route)
    -> placement::latency_model & {
  // Initial estimate: at a quarter of the objective, an extra attempt can still
  // be answered in time.
  return Latencies.try_emplace(Route.Name, Route.Objective / 4).first->second;
}

auto gateway::requestTimeout(const caller_request &Request,
                             const route::route &Route) const -> milliseconds {
  const auto Requested = parseMilliseconds(Request, Settings.Names.Deadline);
  return Requested ? std::min(*Requested, Route.Timeout) : Route.Timeout;
}

auto gateway::findRoute(const caller_request &Request) const
    -> const route::route * {
  return Table ? Table->find(Request.Host, Request.RequestTarget) : nullptr;
}

auto gateway::planFor(const route::route &Route,
                      const caller_request &Request) const
    -> placement::plan_settings {
  const milliseconds Allowed = requestTimeout(Request, Route);
  placement::plan_settings Plan;
  Plan.Services = Route.Shards;
  Plan.MinParts = Route.scattered() ? minParts(Route) : 1;
  Plan.Repeatability = Route.Repeatability;
  Plan.MaxAttempts = Route.MaxAttempts;
  Plan.Deadline =
      Request.ReceivedAt + Allowed - std::min(MaxDeliveryTime, Allowed / 10);
  Plan.EarlyAt = Request.ReceivedAt + Route.Objective -
                 std::max(MinEarlyMargin, Route.Objective / 7) -
                 2 * tailLateness();
  return Plan;
}

auto gateway::tailLateness() const -> microseconds {
  return Lateness.quantile(0.9);
}

auto gateway::recordLateness(const std::chrono::steady_clock::duration Delay)
    -> void {
  Lateness.record(std::chrono::duration_cast<microseconds>(Delay));
}

auto gateway::usedCores() -> double {
  const auto Now = std::chrono::steady_clock::now();
  const std::chrono::duration<double> Span = Now - UsedCoresReadAt;
  const std::chrono::duration<double> Used = ExchangeProcessorTime * Exchanges;
  UsedCores += UsedCoresSmoothing * (Used / Span - UsedCores);
  UsedCoresReadAt = Now;
  Exchanges = 0;
  return UsedCores;
}

auto gateway::countAttempt(const placement::attempt_end End) -> void {
  report::metric_counter *&Counter = AttemptCounters[End];
  if (!Counter)
    Counter = &Metrics.counter("tarragon_attempts_total",
                               {{"end", std::string(placement::name(End))}});
  Counter->add();
  ++Exchanges;
}

auto gateway::stopsBeforeAnswer(const route::route &Route,
                                const caller_request &Request,
                                const time_point Now) -> bool {
  if (!Stop)
    return false;
  const bool MayRunAtEnd = Now + requestTimeout(Request, Route) > Stop->End;
  if (MayRunAtEnd && Now >= Stop->CallersGone &&
      Route.Repeatability == route::repeatability::NonIdempotent)
    return true;
  return Now + latencies(Route).quantile(0.99) > Stop->End;
}

auto gateway::jittered(const milliseconds Time) -> milliseconds {
  // Callers refused at the same time must not retry at the same time, nor
  // before the time that was found.
  std::uniform_real_distribution<> Factor(1.0, 1.5);
  return std::chrono::duration_cast<milliseconds>(Time * Factor(Random));
}

auto gateway::onRequest(const session_pointer &Session, caller_request Request)
    -> void {
  if (!Table)
    return refuse(Session, Request,
                  {503, "no routes are known yet", RetryWithoutRoutes});
  const route::route *Route = findRoute(Request);
  if (!Route)
    return refuse(Session, Request, {404, "no route", {}});
  const route::account *Account = nullptr;
  if (!authenticate(Session, Request, *Route, Account))
    return;
  const auto Now = std::chrono::steady_clock::now();
  if (Account)
    AccountCounts->add(Account->Name, account_event::Requested, Now);
  if (stopsBeforeAnswer(*Route, Request, Now))
    return refuse(Session, Request,
                  {503, "this instance is stopping", RetryElsewhere});
  if (Poison.verdict(fingerprintOf(Request), Now) ==
      admission::poison_verdict::Held)
    return refuse(Session, Request,
                  {503, "held: it crashed targets",
                   Poison.heldFor(fingerprintOf(Request), Now)});
  if (!admitByQuota(Session, Request, *Route, Account, Now) ||
      !admitByShare(Session, Request, *Route, Account, Now))
    return;
  placement::plan_settings Plan = planFor(*Route, Request);
  if (!Route->scattered())
    Plan.Services = {Route->Services[RoundRobin.next(*Route)].Service};
  Plan.Priority = account::priorityOf(*Route, Account);
  auto Active = std::make_shared<active_request>(
      *this,
      active_request::origin{Session, std::move(Request), Table, Route,
                             Account},
      placement::request_plan({Targets, Budgets, latencies(*Route), &Admission},
                              Plan),
      Plan.Deadline);
  this->Active.insert(Active);
  Active->begin();
}

auto gateway::refuse(const session_pointer &Session,
                     const caller_request &Request, const refusal &Refusal)
    -> void {
  const std::string Why(Refusal.Why);
  caller_answer Answer;
  Answer.Status = Refusal.Status;
  if (Refusal.RetryAfter.count() > 0)
    Answer.Headers.push_back(
        {"Retry-After", internal::secondsText(Refusal.RetryAfter)});
  Answer.Body = Why + "\n";
  Metrics.counter("tarragon_refused_total", {{"why", Why}}).add();
  log::write(
      log::level::Info, log::part::Admission, "request refused",
      {{"request", fieldOrEmpty(Request.Headers, Settings.Names.RequestId)},
       {"why", Why},
       {"version", std::to_string(version())},
       {"status", std::to_string(Refusal.Status)},
       {"retry_after_ms", std::to_string(Refusal.RetryAfter.count())}});
  Session->answer(std::move(Answer));
}

auto gateway::release(const std::shared_ptr<active_request> &Request) -> void {
  refundQuota(*Request);
  Active.erase(Request);
}

} // namespace tarragon::gateway
