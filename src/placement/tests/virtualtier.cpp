#include "placement/tests/virtualtier.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace tarragon::placement {

namespace {

constexpr microseconds OneWay{1000};
constexpr double WorkSigma = 0.35;
/// The start of the budgets, in seconds relative to the run.
constexpr double BudgetStartS = -30;

auto idOf(const std::size_t Shard, const std::size_t Replica) -> std::string {
  return "s" + std::to_string(Shard) + "t" + std::to_string(Replica);
}

constexpr int DomainCount = 3;

auto domainOf(const int Number) -> std::string {
  return std::string(1, static_cast<char>('a' + Number));
}

auto serviceOf(const std::size_t Shard) -> std::string {
  return "s" + std::to_string(Shard);
}

} // namespace

auto virtual_tier::outcome::quantile(const double Share) -> microseconds {
  std::sort(Latencies.begin(), Latencies.end());
  const double Last = static_cast<double>(Latencies.size() - 1);
  return Latencies.empty() ? microseconds(0)
                           : Latencies[static_cast<std::size_t>(Share * Last)];
}

auto virtual_tier::outcome::within(const microseconds Limit) const -> double {
  const auto InTime =
      std::count_if(Latencies.begin(), Latencies.end(),
                    [&](const microseconds L) { return L <= Limit; });
  const int All = Complete + Partial + Refused + Failed;
  return static_cast<double>(InTime) / std::max(1, All);
}

virtual_tier::virtual_tier(const std::size_t Shards,
                           const double NewBudgetRatio,
                           const std::uint64_t Seed, const int NewInstanceCount,
                           const int Slots)
    : Random(Seed), BudgetRatio(NewBudgetRatio),
      InstanceCount(NewInstanceCount) {
  for (std::size_t Shard = 0; Shard < Shards; ++Shard)
    for (std::size_t Replica = 0; Replica < 3; ++Replica) {
      route::target_entry Entry;
      Entry.Id = idOf(Shard, Replica);
      Entry.Service = serviceOf(Shard);
      Entry.StartedAtMs = 1;
      Entry.Slots = Slots;
      Entry.FailureDomain = domainOf(static_cast<int>(Replica));
      SimulatedTargets[Entry.Id].Behavior.Slots = Slots;
      Entries.push_back(std::move(Entry));
    }
  addInstances(Now + std::chrono::duration_cast<time_point::duration>(
                         std::chrono::duration<double>(BudgetStartS)));
}

auto virtual_tier::addInstances(const time_point StartedAt) -> void {
  for (int Number = 0; Number < InstanceCount; ++Number) {
    Instances.push_back(
        std::make_unique<instance>(domainOf(Number % DomainCount), StartedAt));
    instance &Instance = *Instances.back();
    Instance.Budgets.setLimits(
        {BudgetRatio, 50, milliseconds(10000), InstanceCount});
    Instance.Targets.setConnectionLimits({}, InstanceCount);
    for (const route::target_entry &Entry : Entries)
      Instance.Targets.apply(Instance.Targets.registry().put(Entry), Now);
  }
}

auto virtual_tier::restartInstances() -> void {
  std::move(Instances.begin(), Instances.end(), std::back_inserter(Replaced));
  Instances.clear();
  addInstances(Now);
}

auto virtual_tier::targetOf(const std::size_t Shard, const std::size_t Replica)
    -> target & {
  return SimulatedTargets.at(idOf(Shard, Replica)).Behavior;
}

auto virtual_tier::at(const milliseconds Time, std::function<void()> Step)
    -> void {
  schedule(Start + Time, std::move(Step));
}

auto virtual_tier::schedule(const time_point At, std::function<void()> Step)
    -> void {
  Events.push({At, NextEvent++, std::move(Step)});
}

auto virtual_tier::run(const load &NewLoad) -> outcome {
  Load = NewLoad;
  std::uniform_real_distribution<> Share(0, 1);
  for (int Number = 0; Number < Load.Requests; ++Number) {
    microseconds Time = Load.ArrivalInterval * Number;
    if (Time >= Load.GatherFrom && Time < Load.GatherUntil)
      Time = Load.GatherUntil;
    const bool Repeats =
        Load.CallerRetryShare >= 1 || Share(Random) < Load.CallerRetryShare;
    const int Retries = Repeats ? Load.CallerRetries : 0;
    schedule(Start + Time, [this, Retries] { arrive(Now, Retries); });
  }
  while (!Events.empty()) {
    const event Event = Events.top();
    Events.pop();
    Now = Event.At;
    Event.Step();
  }
  return Outcome;
}

auto virtual_tier::arrive(const time_point FirstSentAt, const int RetriesLeft)
    -> void {
  const std::uint64_t Id = NextRequest++;
  instance &Instance = *Instances[Id % Instances.size()];
  plan_settings Settings;
  for (std::size_t Shard = 0; Shard < Load.Shards; ++Shard)
    Settings.Services.push_back(serviceOf(Shard));
  Settings.MinParts = static_cast<std::size_t>(
      std::ceil(Load.MinShare * static_cast<double>(Load.Shards)));
  Settings.Repeatability = route::repeatability::Idempotent;
  Settings.MaxAttempts = Load.MaxAttempts;
  Settings.EarlyAt = Now + Load.Objective * 9 / 10;
  Settings.Deadline = FirstSentAt + Load.Timeout;
  request &Request = Requests[Id];
  Request.Instance = &Instance;
  Request.ReceivedAt = FirstSentAt;
  Request.ArrivedAt = Now;
  Request.RetriesLeft = RetriesLeft;
  Request.Plan = std::make_unique<request_plan>(
      request_plan::context{Instance.Targets, Instance.Budgets,
                            Instance.Latencies,
                            Load.HasAdmission ? &Instance.Admission : nullptr},
      Settings);
  perform(Id, Request.Plan->start(Now));
}

auto virtual_tier::count(const request &Request, const plan_verdict Verdict)
    -> void {
  ++Outcome.Arrivals;
  if (Verdict == plan_verdict::Answer)
    ++(Now - Request.ArrivedAt <= Load.Objective ? Outcome.InTimeArrivals
                                                 : Outcome.LateArrivals);
  else
    ++(Verdict == plan_verdict::NotRun ? Outcome.RefusedArrivals
                                       : Outcome.FailedArrivals);
}

auto virtual_tier::forEachTarget(
    const std::function<void(std::size_t, std::size_t, target &)> &Step)
    -> void {
  for (std::size_t Shard = 0; SimulatedTargets.count(idOf(Shard, 0)) > 0;
       ++Shard)
    for (std::size_t Replica = 0; Replica < 3; ++Replica)
      Step(Shard, Replica, targetOf(Shard, Replica));
}

auto virtual_tier::perform(const std::uint64_t Number,
                           const plan_actions &Actions) -> void {
  request &Request = Requests[Number];
  for (const plan_action &Action : Actions) {
    if (const auto *Send = std::get_if<send_attempt>(&Action)) {
      ++Outcome.Sent;
      Outcome.SentOwnDomain +=
          Send->Target.FailureDomain == Request.Instance->Domain ? 1 : 0;
      const std::string Target = Send->Target.Id;
      Request.Targets[Send->Key] = Target;
      const job Job{Number, Send->Key};
      schedule(Now + OneWay, [this, Target, Job] { receive(Target, Job); });
    } else if (const auto *Cancel = std::get_if<cancel_attempt>(&Action)) {
      Request.Cancelled[Cancel->Key] = true;
    } else if (const auto *Finish = std::get_if<finish_plan>(&Action)) {
      Outcome.Extra += Request.Plan->extraAttempts();
      count(Request, Finish->Verdict);
      const bool IsComplete = Request.Answered == Load.Shards;
      if (Finish->Verdict != plan_verdict::Answer && Request.RetriesLeft > 0) {
        const bool Waits =
            Finish->Verdict == plan_verdict::NotRun && !Load.IgnoresRetryAfter;
        const auto Pause = Waits ? Finish->RetryAfter : milliseconds(0);
        schedule(Now + 2 * OneWay + Pause,
                 [this, FirstSentAt = Request.ReceivedAt,
                  RetriesLeft = Request.RetriesLeft - 1] {
                   arrive(FirstSentAt, RetriesLeft);
                 });
        continue;
      }
      switch (Finish->Verdict) {
      case plan_verdict::Answer:
        ++(IsComplete ? Outcome.Complete : Outcome.Partial);
        Outcome.Latencies.push_back(
            std::chrono::duration_cast<microseconds>(Now - Request.ReceivedAt));
        break;
      case plan_verdict::NotRun:
        ++Outcome.Refused;
        break;
      case plan_verdict::TargetError:
      case plan_verdict::Unavailable:
      case plan_verdict::TimedOut:
        ++Outcome.Failed;
        break;
      }
    }
  }
  if (!Request.Plan->finished())
    wake(Number);
}

auto virtual_tier::wake(const std::uint64_t Number) -> void {
  schedule(std::max(Now, Requests[Number].Plan->nextWake()), [this, Number] {
    request_plan &Plan = *Requests[Number].Plan;
    if (!Plan.finished() && Now >= Plan.nextWake())
      perform(Number, Plan.onTimer(Now));
  });
}

auto virtual_tier::receive(const std::string &Target, const job Job) -> void {
  simulated_target &Simulated = SimulatedTargets.at(Target);
  if (Simulated.Behavior.Unresponsive ||
      Requests[Job.Request].Cancelled.count(Job.Key))
    return;
  const double RandomShare = std::uniform_real_distribution<>(0, 1)(Random);
  if (RandomShare < Simulated.Behavior.ShedShare)
    return schedule(Now + OneWay, [this, Target, Job] {
      end(Target, Job, attempt_end::Shed);
    });
  if (Simulated.BusySlots >= Simulated.Behavior.Slots &&
      Simulated.Queue.size() >= Simulated.Behavior.MaxQueue)
    return schedule(Now + OneWay, [this, Target, Job] {
      end(Target, Job, attempt_end::Shed);
    });
  if (Simulated.BusySlots >= Simulated.Behavior.Slots) {
    Simulated.Queue.push_back(Job);
    return;
  }
  startRun(Target, Job);
}

auto virtual_tier::nextRunTime(const simulated_target &Simulated) const
    -> time_point {
  const target &Behavior = Simulated.Behavior;
  if (Behavior.PauseEvery.count() == 0)
    return Now;
  const auto Since = (Now - Start + Behavior.PausePhase) % Behavior.PauseEvery;
  return Since < Behavior.PauseFor ? Now + (Behavior.PauseFor - Since) : Now;
}

auto virtual_tier::startRun(const std::string &Target, const job Job) -> void {
  simulated_target &Simulated = SimulatedTargets.at(Target);
  ++Simulated.BusySlots;
  std::lognormal_distribution<> WorkFactor(0, WorkSigma);
  const auto Work = std::chrono::duration_cast<microseconds>(
      Load.MedianWork * WorkFactor(Random) * Simulated.Behavior.Slowness);
  schedule(nextRunTime(Simulated) + Work, [this, Target, Job] {
    simulated_target &Ended = SimulatedTargets.at(Target);
    --Ended.BusySlots;
    if (!Ended.Behavior.Unresponsive)
      schedule(Now + OneWay, [this, Target, Job] {
        end(Target, Job, attempt_end::Answered);
      });
    while (!Ended.Queue.empty() && Ended.BusySlots < Ended.Behavior.Slots) {
      const job Next = Ended.Queue.front();
      Ended.Queue.pop_front();
      if (!Requests[Next.Request].Cancelled.count(Next.Key))
        startRun(Target, Next);
    }
  });
}

auto virtual_tier::end(const std::string &, const job Job,
                       const attempt_end End) -> void {
  request &Request = Requests[Job.Request];
  if (Request.Plan->finished() || Request.Cancelled.count(Job.Key))
    return;
  Request.Answered += End == attempt_end::Answered ? 1 : 0;
  perform(Job.Request, Request.Plan->onEnded(Job.Key, End, Now));
}

} // namespace tarragon::placement
