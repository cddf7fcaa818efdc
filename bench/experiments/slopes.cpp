#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

#include <json/json.h>

namespace tarragon::bench {

namespace {

constexpr double PerSecond = 40;

/// The cost of a fleet.
struct fleet_cost {
  double PlatformCalls = 0; ///< per second
  double Cores = 0;         ///< of all instances, under the same load
  double Tail = 0;          ///< p99 in milliseconds
};

auto fleetOf(const std::size_t EntryCount) -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 3;
  Topology.EntryCount = EntryCount;
  Topology.MaxInstances = EntryCount + 2;
  return Topology;
}

auto platformCalls(cluster &Cluster) -> double {
  double Sum = 0;
  const Json::Value Counters = Cluster.platformCounters();
  for (const char *const Name :
       {"get", "put", "delete", "list", "watch", "instances"})
    Sum += Counters[Name].asDouble();
  return Sum;
}

auto measure(session &Session, const milliseconds Length) -> fleet_cost {
  cluster &Cluster = Session.processes();
  const double CallsBefore = platformCalls(Cluster);
  const milliseconds CpuBefore = Cluster.entryCpu();
  schedule_plan Plan;
  Plan.PerSecond = PerSecond;
  Plan.Length = Length;
  const auto Records = Session.playProduct(Plan);
  const double Seconds = std::chrono::duration<double>(Length).count();
  const std::chrono::duration<double> Cpu = Cluster.entryCpu() - CpuBefore;
  return {(platformCalls(Cluster) - CallsBefore) / Seconds,
          Cpu.count() / Seconds, quantile(latencies(Records), 0.99)};
}

} // namespace

/// Plays the same load on fleets of increasing size and derives the cost of
/// each additional instance.
auto runSlopes(const session_options &Options) -> experiment_result {
  constexpr std::size_t SmallestFleet = 3;
  constexpr std::size_t LargestFleet = 18;
  std::map<std::size_t, fleet_cost> Costs;
  experiment_result Result;
  for (const std::size_t Count :
       {SmallestFleet, std::size_t{9}, LargestFleet}) {
    session Session(Options, fleetOf(Count));
    if (const auto Error = Session.start())
      return startFailure(*Error);
    Costs[Count] = measure(Session, shareOf(Session.length(), 0.28));
    const auto Part = Session.finish({});
    Result.Violations.insert(Result.Violations.end(), Part.Violations.begin(),
                             Part.Violations.end());
    Result.Figures["requests"] = Result.Figures["requests"].asUInt64() +
                                 Part.Figures["requests"].asUInt64();
    Json::Value &Line = Result.Figures["fleets"][std::to_string(Count)];
    Line["platform_calls_s"] = Costs[Count].PlatformCalls;
    Line["cores"] = Costs[Count].Cores;
    Line["p99_ms"] = Costs[Count].Tail;
  }
  const fleet_cost &Small = Costs[SmallestFleet];
  const fleet_cost &Large = Costs[LargestFleet];
  constexpr double AddedInstances = LargestFleet - SmallestFleet;
  Result.Figures["platform_calls_s_per_instance"] =
      (Large.PlatformCalls - Small.PlatformCalls) / AddedInstances;
  Result.Figures["cores_per_instance"] =
      (Large.Cores - Small.Cores) / AddedInstances;
  Result.Figures["baseline"]["platform_calls_s_per_instance"] = 0.0;
  Result.Figures["baseline"]["cores_per_instance"] = 0.0;
  Result.Figures["baseline"]["requests"] = 0;
  return Result;
}

} // namespace tarragon::bench
