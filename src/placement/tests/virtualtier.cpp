#include "placement/tests/virtualtier.h"

#include <algorithm>
#include <cmath>

namespace tarragon::placement {

namespace {

constexpr microseconds OneWay{1000};
constexpr double WorkSpread = 0.35;
constexpr double Warmed = -30; ///< seconds since the budgets began

auto idOf(const std::size_t Shard, const std::size_t Replica) -> std::string {
  return "s" + std::to_string(Shard) + "t" + std::to_string(Replica);
}

constexpr int Domains = 3;

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
  const int All = Whole + Partial + Refused + Failed;
  return static_cast<double>(InTime) / std::max(1, All);
}

virtual_tier::virtual_tier(const std::size_t Shards, const double BudgetRatio,
                           const std::uint64_t Seed, const int InstanceCount)
    : Random(Seed) {
  const time_point BornAt =
      Now + std::chrono::duration_cast<time_point::duration>(
                std::chrono::duration<double>(Warmed));
  for (int Number = 0; Number < InstanceCount; ++Number) {
    Sides.push_back(std::make_unique<side>(domainOf(Number % Domains), BornAt));
    side &Side = *Sides.back();
    Side.Budgets.setLimits(
        {BudgetRatio, 50, milliseconds(10000), InstanceCount});
    Side.Targets.setConnectionLimits({}, InstanceCount);
  }
  for (std::size_t Shard = 0; Shard < Shards; ++Shard)
    for (std::size_t Replica = 0; Replica < 3; ++Replica) {
      route::target_entry Entry;
      Entry.Id = idOf(Shard, Replica);
      Entry.Service = serviceOf(Shard);
      Entry.Born = 1;
      Entry.Slots = target().Slots;
      Entry.FailureDomain = domainOf(static_cast<int>(Replica));
      for (const auto &Side : Sides)
        Side->Targets.apply(Side->Targets.book().put(Entry), Now);
      Machines[Entry.Id] = {};
    }
}

auto virtual_tier::targetOf(const std::size_t Shard, const std::size_t Replica)
    -> target & {
  return Machines.at(idOf(Shard, Replica)).Kind;
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
  for (int Number = 0; Number < Load.Requests; ++Number)
    schedule(Start + Load.Gap * Number, [this, Number] {
      side &Side = *Sides[static_cast<std::size_t>(Number) % Sides.size()];
      plan_settings Settings;
      for (std::size_t Shard = 0; Shard < Load.Shards; ++Shard)
        Settings.Services.push_back(serviceOf(Shard));
      Settings.LeastParts = static_cast<std::size_t>(
          std::ceil(Load.LeastShare * static_cast<double>(Load.Shards)));
      Settings.Repeat = route::repeatability::Idempotent;
      Settings.Attempts = Load.Attempts;
      Settings.EarlyAt = Now + Load.Objective * 9 / 10;
      Settings.Deadline = Now + Load.Wait;
      const auto Id = static_cast<std::uint64_t>(Number);
      request &Request = Requests[Id];
      Request.Side = &Side;
      Request.ReceivedAt = Now;
      Request.Plan = std::make_unique<request_plan>(
          request_plan::context{Side.Targets, Side.Budgets, Side.Latencies},
          Settings);
      perform(Id, Request.Plan->start(Now));
    });
  while (!Events.empty()) {
    const event Event = Events.top();
    Events.pop();
    Now = Event.At;
    Event.Step();
  }
  return Outcome;
}

auto virtual_tier::perform(const std::uint64_t Number,
                           const plan_actions &Actions) -> void {
  request &Request = Requests[Number];
  for (const plan_action &Action : Actions) {
    if (const auto *Send = std::get_if<send_attempt>(&Action)) {
      ++Outcome.Sent;
      Outcome.SentNear +=
          Send->Target.FailureDomain == Request.Side->Domain ? 1 : 0;
      const std::string Target = Send->Target.Id;
      Request.Targets[Send->Key] = Target;
      const job Job{Number, Send->Key};
      schedule(Now + OneWay, [this, Target, Job] { arrive(Target, Job); });
    } else if (const auto *Cancel = std::get_if<cancel_attempt>(&Action)) {
      Request.Cancelled[Cancel->Key] = true;
    } else if (const auto *Finish = std::get_if<finish_plan>(&Action)) {
      Outcome.Extra += Request.Plan->extraAttempts();
      const bool IsWhole = Request.Answered == Load.Shards;
      switch (Finish->Verdict) {
      case plan_verdict::Answer:
        ++(IsWhole ? Outcome.Whole : Outcome.Partial);
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

auto virtual_tier::arrive(const std::string &Target, const job Job) -> void {
  machine &Machine = Machines.at(Target);
  if (Machine.Kind.Dark || Requests[Job.Request].Cancelled.count(Job.Key))
    return;
  const double Draw = std::uniform_real_distribution<>(0, 1)(Random);
  if (Draw < Machine.Kind.ShedShare)
    return schedule(Now + OneWay, [this, Target, Job] {
      end(Target, Job, attempt_end::Shed);
    });
  if (Machine.Busy >= Machine.Kind.Slots) {
    Machine.Queue.push_back(Job);
    return;
  }
  begin(Target, Job);
}

auto virtual_tier::resume(const machine &Machine) const -> time_point {
  const target &Kind = Machine.Kind;
  if (Kind.PauseEvery.count() == 0)
    return Now;
  const auto Since = (Now - Start + Kind.PausePhase) % Kind.PauseEvery;
  return Since < Kind.PauseFor ? Now + (Kind.PauseFor - Since) : Now;
}

auto virtual_tier::begin(const std::string &Target, const job Job) -> void {
  machine &Machine = Machines.at(Target);
  ++Machine.Busy;
  std::lognormal_distribution<> Spread(0, WorkSpread);
  const auto Work = std::chrono::duration_cast<microseconds>(
      Load.Work * Spread(Random) * Machine.Kind.Slowness);
  schedule(resume(Machine) + Work, [this, Target, Job] {
    machine &Ended = Machines.at(Target);
    --Ended.Busy;
    if (!Ended.Kind.Dark)
      schedule(Now + OneWay, [this, Target, Job] {
        end(Target, Job, attempt_end::Answered);
      });
    while (!Ended.Queue.empty() && Ended.Busy < Ended.Kind.Slots) {
      const job Next = Ended.Queue.front();
      Ended.Queue.pop_front();
      if (!Requests[Next.Request].Cancelled.count(Next.Key))
        begin(Target, Next);
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
