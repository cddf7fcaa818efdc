#include "placement/tests/loadsimulation.h"

#include "global/hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace tarragon::placement {

namespace {

constexpr microseconds OneWay{500};
constexpr microseconds MedianWork{9000};
constexpr double WorkSigma = 0.35;
constexpr int Slots = 4;
constexpr std::size_t MaxQueue = 24;
constexpr microseconds PauseEvery{3000000};
constexpr microseconds PauseFor{120000};
constexpr microseconds SlowFor{500000};
constexpr double SlowShare = 0.03;
constexpr double SlowFactor = 4;
constexpr double UsualPace = 1;
constexpr std::array<double, 3> Speeds{0.8, 1.0, 1.3};
constexpr std::chrono::seconds Warmup{3};
/// Parts that were lost count as slower than any answer.
constexpr microseconds LostLatency{10000000};

auto toDuration(const double Us) -> microseconds {
  return microseconds(static_cast<std::int64_t>(Us));
}

} // namespace

load_simulation::load_simulation(settings NewSettings, chooser &NewChooser)
    : Settings(NewSettings), Chooser(NewChooser), Arrivals(NewSettings.Seed),
      Work(NewSettings.Seed + 1000),
      Targets(
          static_cast<std::size_t>(NewSettings.Services * NewSettings.Targets)),
      Latencies(static_cast<std::size_t>(NewSettings.Instances)) {
  for (int Number = 0; Number < static_cast<int>(Targets.size()); ++Number) {
    target &Target = Targets[static_cast<std::size_t>(Number)];
    const int Service = Number / Settings.Targets;
    const int Replica = Number % Settings.Targets;
    Target.Speed = Speeds[static_cast<std::size_t>((Service + Replica) % 3)];
    if (Settings.SlowTenth && Replica == Service % Settings.Targets)
      Target.Speed /= 2.5;
    Target.PausePhase = microseconds(613000LL * Number % PauseEvery.count());
    Target.BusySince = Start;
  }
}

auto load_simulation::schedule(const time_point At, std::function<void()> Step)
    -> void {
  Events.push({At, NextEvent++, std::move(Step)});
}

auto load_simulation::isSlow(const int Target) const -> bool {
  const auto Epoch = (Now - Start) / SlowFor;
  std::minstd_rand Random(static_cast<std::uint32_t>(hash64(
      std::to_string(Epoch) + '.' + std::to_string(Target), Settings.Seed)));
  return std::uniform_real_distribution<>(0, 1)(Random) < SlowShare;
}

auto load_simulation::speed(const int Target) const -> double {
  return Targets[static_cast<std::size_t>(Target)].Speed /
         (isSlow(Target) ? SlowFactor : 1);
}

auto load_simulation::median(const int Instance) -> microseconds {
  return Latencies[static_cast<std::size_t>(Instance)].Median;
}

auto load_simulation::run() -> outcome {
  arrive();
  if (Settings.HerdAt.count() > 0)
    schedule(Start + Settings.HerdAt, [this] { herd(); });
  for (std::chrono::seconds Second{1}; Second <= Settings.Duration; ++Second)
    schedule(Start + Second, [this] { closeSecond(); });
  while (!Events.empty()) {
    const event Event = Events.top();
    Events.pop();
    Now = Event.At;
    Event.Step();
  }
  std::sort(PartLatencies.begin(), PartLatencies.end());
  const auto At = [this](const double Share) {
    return PartLatencies[static_cast<std::size_t>(
        Share * static_cast<double>(PartLatencies.size() - 1))];
  };
  Outcome.Median = At(0.5);
  Outcome.Tail = At(0.99);
  Outcome.BusiestOverMean = std::accumulate(Ratios.begin(), Ratios.end(), 0.0) /
                            static_cast<double>(Ratios.size());
  return Outcome;
}

auto load_simulation::arrive() -> void {
  double Capacity = 0;
  for (int Target = 0; Target < Settings.Targets; ++Target)
    Capacity += Targets[static_cast<std::size_t>(Target)].Speed * Slots;
  const double MeanWorkUs = static_cast<double>(MedianWork.count()) *
                            std::exp(WorkSigma * WorkSigma / 2);
  const double RatePerUs = Settings.Load * Capacity / MeanWorkUs;
  std::exponential_distribution<> Gap(RatePerUs);
  const auto At = Now + toDuration(Gap(Arrivals));
  const int Instance = static_cast<int>(
      Arrivals() % static_cast<std::uint64_t>(Settings.Instances));
  if (At > Start + Settings.Duration)
    return;
  schedule(At, [this, Instance] {
    for (int Service = 0; Service < Settings.Services; ++Service)
      send({Instance, Service, -1, -1, Now, Now, {}, false});
    arrive();
  });
}

auto load_simulation::herd() -> void {
  for (int Number = 0; Number < Settings.HerdParts; ++Number)
    for (int Service = 0; Service < Settings.Services; ++Service)
      send({Number % Settings.Instances, Service, -1, -1, Now, Now, {}, true});
}

auto load_simulation::send(attempt Attempt) -> void {
  Attempt.Target = Chooser.choose(Attempt.Instance, Attempt.Service,
                                  Attempt.Tried, median(Attempt.Instance), Now);
  if (Attempt.Target < 0)
    return lose();
  Attempt.SentAt = Now;
  Chooser.onSent(Attempt.Instance, Attempt.Target, Now);
  schedule(Now + OneWay, [this, Attempt] { receive(Attempt); });
}

auto load_simulation::countBusy(target &Target) -> void {
  Target.BusyUs +=
      Target.Busy *
      std::chrono::duration<double, std::micro>(Now - Target.BusySince).count();
  Target.BusySince = Now;
}

auto load_simulation::told(target &Target) -> told_load {
  told_load Load{Target.Busy, static_cast<int>(Target.Queue.size()), Slots, 0};
  if (Settings.HasPace) {
    const int Number = static_cast<int>(&Target - Targets.data());
    Load.Pace = UsualPace / speed(Number);
  }
  if (Settings.NewsDelay.count() == 0)
    return Load;
  Target.History.emplace_back(Now, Load);
  while (Target.History.size() > 1 &&
         Target.History[1].first <= Now - Settings.NewsDelay)
    Target.History.pop_front();
  return Target.History.front().second;
}

auto load_simulation::receive(attempt Attempt) -> void {
  target &Target = Targets[static_cast<std::size_t>(Attempt.Target)];
  const auto First = Targets.begin() + Attempt.Service * Settings.Targets;
  const bool IsSiblingFree =
      std::any_of(First, First + Settings.Targets,
                  [](const target &Each) { return Each.Busy < Slots; });
  const bool IsFull = Target.Busy >= Slots;
  if (Now >= Start + Warmup) {
    ++Outcome.Sent;
    Outcome.FullWhileFree += IsFull && IsSiblingFree ? 1 : 0;
    Outcome.OwnDomain +=
        domainOf(Attempt.Target, Settings.Targets) == Attempt.Instance % 3 ? 1
                                                                           : 0;
  }
  Target.FromHerd += Attempt.FromHerd ? 1 : 0;
  if (!IsFull)
    return execute(Attempt);
  if (Target.Queue.size() < MaxQueue) {
    Target.Queue.push_back(Attempt);
    return;
  }
  Outcome.Shed += Now >= Start + Warmup ? 1 : 0;
  Attempt.Told = told(Target);
  schedule(Now + OneWay, [this, Attempt] { end(Attempt, attempt_end::Shed); });
}

auto load_simulation::execute(attempt Attempt) -> void {
  target &Target = Targets[static_cast<std::size_t>(Attempt.Target)];
  countBusy(Target);
  ++Target.Busy;
  std::lognormal_distribution<> Factor(0, WorkSigma);
  const auto Span = toDuration(static_cast<double>(MedianWork.count()) *
                               Factor(Work) / speed(Attempt.Target));
  const auto Phase = (Now - Start + Target.PausePhase) % PauseEvery;
  const auto RunsAt = Phase < PauseFor ? Now + (PauseFor - Phase) : Now;
  schedule(RunsAt + Span, [this, Attempt]() mutable {
    target &Ended = Targets[static_cast<std::size_t>(Attempt.Target)];
    countBusy(Ended);
    --Ended.Busy;
    if (!Ended.Queue.empty()) {
      const attempt Next = Ended.Queue.front();
      Ended.Queue.pop_front();
      execute(Next);
    }
    Attempt.Told = told(Ended);
    schedule(Now + OneWay,
             [this, Attempt] { end(Attempt, attempt_end::Answered); });
  });
}

auto load_simulation::end(const attempt &Attempt, const attempt_end End)
    -> void {
  const auto Latency =
      std::chrono::duration_cast<microseconds>(Now - Attempt.SentAt);
  Chooser.onTold(Attempt.Instance, Attempt.Target, Attempt.Told,
                 Now - (Settings.KnowsDelay ? Settings.NewsDelay : OneWay));
  Chooser.onEnded(Attempt.Instance, Attempt.Target, End, Latency,
                  median(Attempt.Instance), Now);
  if (End == attempt_end::Answered) {
    latencies &Known = Latencies[static_cast<std::size_t>(Attempt.Instance)];
    Known.Model.record(Latency);
    if (++Known.Recorded % 16 == 0)
      Known.Median = Known.Model.median();
    if (Now >= Start + Warmup)
      PartLatencies.push_back(
          std::chrono::duration_cast<microseconds>(Now - Attempt.FirstSentAt));
    return;
  }
  if (Attempt.Tried < 0) {
    attempt Retry = Attempt;
    Retry.Tried = Attempt.Target;
    send(Retry);
    return;
  }
  lose();
}

auto load_simulation::lose() -> void {
  if (Now < Start + Warmup)
    return;
  ++Outcome.Lost;
  PartLatencies.push_back(LostLatency);
}

auto load_simulation::closeSecond() -> void {
  double HerdBusiest = 0;
  for (int Service = 0; Service < Settings.Services; ++Service) {
    double Busiest = 0;
    double Sum = 0;
    int HerdMax = 0;
    int HerdSum = 0;
    for (int Replica = 0; Replica < Settings.Targets; ++Replica) {
      target &Target = Targets[static_cast<std::size_t>(
          Service * Settings.Targets + Replica)];
      countBusy(Target);
      Busiest = std::max(Busiest, Target.BusyUs);
      Sum += Target.BusyUs;
      Target.BusyUs = 0;
      HerdMax = std::max(HerdMax, Target.FromHerd);
      HerdSum += Target.FromHerd;
    }
    if (Sum > 0 && Now > Start + Warmup)
      Ratios.push_back(Busiest * Settings.Targets / Sum);
    if (HerdSum > 0)
      HerdBusiest += static_cast<double>(HerdMax) * Settings.Targets / HerdSum /
                     Settings.Services;
  }
  Outcome.HerdBusiestOverMean = HerdBusiest;
}

} // namespace tarragon::placement
