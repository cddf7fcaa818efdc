#include "placement/tests/loadchoosers.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tarragon::placement {

namespace {

constexpr int Slots = 4;
/// Connections are no bound here.
constexpr int ConnectionsPerInstance = 64;

auto domainName(const int Domain) -> std::string {
  return std::string(1, static_cast<char>('a' + Domain));
}

/// Returns the index of the candidate for which \p Cost is lowest.
template <typename cost>
auto lowest(const rule_chooser::candidates &Candidates, const cost &Cost)
    -> std::size_t {
  std::size_t Best = 0;
  for (std::size_t Index = 1; Index < Candidates.size(); ++Index)
    if (Cost(Candidates[Index]) < Cost(Candidates[Best]))
      Best = Index;
  return Best;
}

auto leastOfTwo(const rule_chooser::candidates &Candidates, int, int,
                std::mt19937_64 &Random) -> std::size_t {
  const std::size_t First = Random() % Candidates.size();
  const std::size_t Second = Random() % Candidates.size();
  return Candidates[First].time() <= Candidates[Second].time() ? First : Second;
}

auto byFreeCapacity(const rule_chooser::candidates &Candidates, int, int,
                    std::mt19937_64 &Random) -> std::size_t {
  constexpr double NewsTimeS = 0.02;
  constexpr double UsualFreeShare = 0.3;
  std::vector<double> Weights;
  for (const rule_chooser::candidate &Each : Candidates) {
    const double Fresh =
        Each.HasReport ? std::exp(-Each.AgeS / NewsTimeS) : 0.0;
    const double Free = std::max(0.05, Each.free() / Each.Told.Slots);
    Weights.push_back((Fresh * Free + (1 - Fresh) * UsualFreeShare) /
                      Each.pace());
  }
  return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                 Weights.end())(Random);
}

auto hotAndCold(const rule_chooser::candidates &Candidates, int, int,
                std::mt19937_64 &) -> std::size_t {
  constexpr double Hot = 1e9;
  return lowest(Candidates, [](const rule_chooser::candidate &Each) {
    return Each.free() <= 0 ? Hot * (1 + Each.InSystem) : Each.OwnCost;
  });
}

auto rotatedOrder(const rule_chooser::candidates &Candidates,
                  const int Instance, const int Service, std::mt19937_64 &)
    -> std::size_t {
  constexpr double Full = 1000;
  constexpr int AnyOrder = 2520; ///< divisible by all counts of targets
  return lowest(Candidates, [&](const rule_chooser::candidate &Each) {
    return Each.free() <= 0
               ? Full * Each.time()
               : (Each.Number + Instance + Service + AnyOrder) % 9 * 1.0;
  });
}

auto leastOfSubset(const rule_chooser::candidates &Candidates,
                   const int Instance, const int Service, std::mt19937_64 &)
    -> std::size_t {
  constexpr double Outside = 1e6;
  return lowest(Candidates, [&](const rule_chooser::candidate &Each) {
    const bool IsOutside = (Each.Number + Instance / 3 + Service) % 3 == 0;
    return Each.time() * (IsOutside ? Outside : 1);
  });
}

auto leastReported(const rule_chooser::candidates &Candidates, int, int,
                   std::mt19937_64 &) -> std::size_t {
  return lowest(Candidates, [](const rule_chooser::candidate &Each) {
    return Each.time();
  });
}

} // namespace

auto alternativeRules()
    -> std::vector<std::pair<std::string, rule_chooser::rule>> {
  return {
      {"least reported", leastReported},    {"least of two", leastOfTwo},
      {"by free capacity", byFreeCapacity}, {"hot and cold", hotAndCold},
      {"rotated order", rotatedOrder},      {"subset of 2/3", leastOfSubset}};
}

set_chooser::set_chooser(const load_simulation::settings &Settings,
                         const bool NewReports)
    : Reports(NewReports), TargetCount(Settings.Targets) {
  std::vector<route::target_entry> Entries;
  std::map<std::string, int> MaxConnections;
  for (int Service = 0; Service < Settings.Services; ++Service) {
    Services.push_back("s" + std::to_string(Service));
    MaxConnections[Services.back()] =
        ConnectionsPerInstance * Settings.Instances;
    for (int Number = 0; Number < TargetCount; ++Number) {
      route::target_entry Entry;
      Entry.Id = std::to_string(Service * TargetCount + Number);
      Entry.Service = Services.back();
      Entry.StartedAtMs = 1;
      Entry.Slots = Slots;
      Entry.FailureDomain =
          domainName(load_simulation::domainOf(Number, TargetCount));
      Ids.push_back(Entry.Id);
      Entries.push_back(Entry);
    }
  }
  for (int Instance = 0; Instance < Settings.Instances; ++Instance) {
    Sets.push_back(std::make_unique<target_set>(domainName(Instance % 3)));
    target_set &Set = *Sets.back();
    Set.setSpreadSeed(Settings.Seed + static_cast<std::uint64_t>(Instance));
    for (const route::target_entry &Entry : Entries)
      Set.apply(Set.registry().put(Entry), time_point{});
    Set.setConnectionLimits(MaxConnections, Settings.Instances);
  }
}

auto set_chooser::choose(const int Instance, const int Service, const int Tried,
                         const microseconds Median, const time_point Now)
    -> int {
  std::vector<std::string> TriedIds;
  if (Tried >= 0)
    TriedIds.push_back(Ids[static_cast<std::size_t>(Tried)]);
  const route::target_entry *Entry = set(Instance).choose(
      Services[static_cast<std::size_t>(Service)], TriedIds, Median, Now);
  return Entry ? std::stoi(Entry->Id) : -1;
}

auto set_chooser::onSent(const int Instance, const int Target,
                         const time_point Now) -> void {
  set(Instance).health(Ids[static_cast<std::size_t>(Target)]).onSent(Now);
}

auto set_chooser::onTold(const int Instance, const int Target,
                         const told_load &Load, const time_point MeasuredAt)
    -> void {
  if (Reports)
    set(Instance).recordLoad(Ids[static_cast<std::size_t>(Target)], 1, Load,
                             MeasuredAt);
}

auto set_chooser::onEnded(const int Instance, const int Target,
                          const attempt_end End, const microseconds Latency,
                          const microseconds Median, const time_point Now)
    -> void {
  set(Instance)
      .health(Ids[static_cast<std::size_t>(Target)])
      .onEnded(End, Latency, Median, Now);
}

rule_chooser::rule_chooser(const load_simulation::settings &Settings,
                           rule NewRule)
    : TargetCount(Settings.Targets),
      Stride(Settings.Services * Settings.Targets), Rule(std::move(NewRule)),
      States(static_cast<std::size_t>(Settings.Instances * Stride)) {
  for (int Instance = 0; Instance < Settings.Instances; ++Instance)
    Randoms.emplace_back(Settings.Seed + static_cast<std::uint64_t>(Instance));
  for (state &State : States) {
    State.Health.setMaxOutstanding(ConnectionsPerInstance);
    State.Health.setSlotShare(static_cast<double>(Settings.Instances) / Slots);
  }
}

auto rule_chooser::choose(const int Instance, const int Service,
                          const int Tried, const microseconds Median,
                          const time_point Now) -> int {
  candidates Candidates;
  candidates Silent;
  for (int Number = 0; Number < TargetCount; ++Number) {
    const int Target = Service * TargetCount + Number;
    const state &State = stateOf(Instance, Target);
    if (Target == Tried || State.Health.isUnavailable(Median, Now))
      continue;
    candidate Candidate;
    Candidate.Number = Number;
    Candidate.IsOwnDomain =
        load_simulation::domainOf(Target, TargetCount) == Instance % 3;
    Candidate.HasReport = State.HasReport;
    Candidate.Told = State.HasReport ? State.Told : told_load{0, 0, Slots, 0};
    Candidate.AgeS = std::chrono::duration<double>(Now - State.ToldAt).count();
    Candidate.InSystem =
        Candidate.Told.Running + Candidate.Told.Waiting + State.SentSince;
    Candidate.OwnCost = State.Health.cost(Median, Now);
    (State.Health.isSilent(Median, Now) ? Silent : Candidates)
        .push_back(Candidate);
  }
  if (Candidates.empty())
    Candidates = Silent;
  if (Candidates.empty())
    return -1;
  const std::size_t Chosen = Rule(Candidates, Instance, Service,
                                  Randoms[static_cast<std::size_t>(Instance)]);
  return Service * TargetCount + Candidates[Chosen].Number;
}

auto rule_chooser::onSent(const int Instance, const int Target,
                          const time_point Now) -> void {
  state &State = stateOf(Instance, Target);
  State.Health.onSent(Now);
  ++State.SentSince;
}

auto rule_chooser::onTold(const int Instance, const int Target,
                          const told_load &Load, const time_point MeasuredAt)
    -> void {
  state &State = stateOf(Instance, Target);
  State.Told = Load;
  State.ToldAt = MeasuredAt;
  State.SentSince = 0;
  State.HasReport = true;
}

auto rule_chooser::onEnded(const int Instance, const int Target,
                           const attempt_end End, const microseconds Latency,
                           const microseconds Median, const time_point Now)
    -> void {
  state &State = stateOf(Instance, Target);
  State.Health.onEnded(End, Latency, Median, Now);
  if (Now - Latency > State.ToldAt)
    State.SentSince = std::max(0, State.SentSince - 1);
}

auto exact_chooser::choose(const int Instance, const int Service,
                           const int Tried, microseconds, time_point) -> int {
  int Best = -1;
  double LowestCost = std::numeric_limits<double>::max();
  for (int Number = 0; Number < TargetCount; ++Number) {
    const int Target = Service * TargetCount + Number;
    const bool IsOwn =
        load_simulation::domainOf(Target, TargetCount) == Instance % 3;
    const double Cost =
        Simulation->inSystem(Target) < Slots
            ? (IsOwn ? 0 : 1)
            : Simulation->inSystem(Target) + (IsOwn ? 0.0 : 0.5);
    if (Target == Tried || Cost >= LowestCost)
      continue;
    LowestCost = Cost;
    Best = Target;
  }
  return Best;
}

} // namespace tarragon::placement
