#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

#include <json/json.h>

namespace tarragon::bench {

namespace {

constexpr double PerSecond = 40;

/// What a fleet of some size costs.
struct fleet_cost {
  double PlatformCalls = 0; ///< a second
  double Cores = 0;         ///< of all instances, under the same load
  double Tail = 0;          ///< p99 in milliseconds
};

auto fleetOf(const std::size_t EntryCount) -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 3;
  Topology.EntryCount = EntryCount;
  Topology.MostInstances = EntryCount + 2;
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

/// The same load over fleets of growing size: what each instance more costs.
auto runSlopes(const session_options &Options) -> experiment_result {
  constexpr std::size_t Least = 3;
  constexpr std::size_t Most = 18;
  std::map<std::size_t, fleet_cost> Costs;
  experiment_result Result;
  for (const std::size_t Count : {Least, std::size_t{9}, Most}) {
    session Session(Options, fleetOf(Count));
    if (const auto Error = Session.start())
      return notStarted(*Error);
    Costs[Count] = measure(Session, shareOf(Session.length(), 0.28));
    const auto Part = Session.finish({});
    Result.Broken.insert(Result.Broken.end(), Part.Broken.begin(),
                         Part.Broken.end());
    Result.Figures["requests"] = Result.Figures["requests"].asUInt64() +
                                 Part.Figures["requests"].asUInt64();
    Json::Value &Line = Result.Figures["fleets"][std::to_string(Count)];
    Line["platform_calls_s"] = Costs[Count].PlatformCalls;
    Line["cores"] = Costs[Count].Cores;
    Line["p99_ms"] = Costs[Count].Tail;
  }
  const fleet_cost &Small = Costs[Least];
  const fleet_cost &Large = Costs[Most];
  constexpr double More = Most - Least;
  Result.Figures["platform_calls_s_per_instance"] =
      (Large.PlatformCalls - Small.PlatformCalls) / More;
  Result.Figures["cores_per_instance"] = (Large.Cores - Small.Cores) / More;
  Result.Figures["baseline"]["platform_calls_s_per_instance"] = 0.0;
  Result.Figures["baseline"]["cores_per_instance"] = 0.0;
  Result.Figures["baseline"]["requests"] = 0;
  return Result;
}

} // namespace tarragon::bench
