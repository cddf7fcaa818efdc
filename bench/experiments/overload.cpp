#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

#include <algorithm>

namespace tarragon::bench {

namespace {

constexpr int Pairs = 3;
constexpr double LoadFactor = 2;

/// Returns the ratio of complete answers per second to the capacity of the
/// slots. Answers received after the load has ended are not counted.
auto goodputRatio(const std::vector<call_record> &Records,
                  const milliseconds Length, const double Capacity) -> double {
  const auto Good = std::count_if(
      Records.begin(), Records.end(), [Length](const call_record &Record) {
        return Record.Complete && Record.Call.At + Record.Latency <= Length;
      });
  return static_cast<double>(Good) /
         std::chrono::duration<double>(Length).count() / Capacity;
}

/// Returns the share of the requests received by targets that were shed.
auto shedRatio(const double Sheds, const double Runs) -> double {
  return Sheds + Runs > 0 ? Sheds / (Sheds + Runs) : 0;
}

/// Four services, so that the host's CPU is not the bottleneck.
auto smallStorefront() -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 4;
  Topology.ServiceMeanMs = 40;
  return Topology;
}

/// Returns the queries per second that keep all slots busy.
auto capacityOf(const topology &Topology) -> double {
  const auto Slots =
      static_cast<double>(Topology.Slots * Topology.ReplicaCount);
  return Slots * 1000 / Topology.ServiceMeanMs;
}

} // namespace

/// Offers twice the load that the slots have capacity for.
auto runOverload(const session_options &Options) -> experiment_result {
  const topology Topology = smallStorefront();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  const double Capacity = capacityOf(Topology);
  schedule_plan Plan;
  Plan.PerSecond = LoadFactor * Capacity;
  Plan.Length = shareOf(Session.length(), 0.5 / Pairs);
  std::vector<double> Good;
  std::vector<double> Sheds;
  std::vector<double> Tails;
  std::vector<double> NaiveGood;
  std::vector<double> NaiveSheds;
  cluster &Cluster = Session.processes();
  const auto CountSheds = [&](auto Play, std::vector<double> &Ratios) {
    const double ShedsBefore = Cluster.sumOfTargets("sheds");
    const double RunsBefore = Cluster.sumOfTargets("runs");
    const auto Records = Play();
    Ratios.push_back(shedRatio(Cluster.sumOfTargets("sheds") - ShedsBefore,
                               Cluster.sumOfTargets("runs") - RunsBefore));
    return Records;
  };
  for (int Pair = 0; Pair < Pairs; ++Pair) {
    const auto Records =
        CountSheds([&] { return Session.playProduct(Plan); }, Sheds);
    Good.push_back(goodputRatio(Records, Plan.Length, Capacity));
    Tails.push_back(quantile(latencies(Records), 0.99));
    const auto Naive =
        CountSheds([&] { return Session.playNaive(Plan); }, NaiveSheds);
    NaiveGood.push_back(goodputRatio(Naive, Plan.Length, Capacity));
  }
  Json::Value Figures(Json::objectValue);
  Figures["goodput_ratio"] = median(Good);
  Figures["shed_ratio"] = median(Sheds);
  Figures["p99_ms"] = median(Tails);
  Figures["per_second"] = Plan.PerSecond;
  Figures["baseline"]["goodput_ratio"] = median(NaiveGood);
  Figures["baseline"]["shed_ratio"] = median(NaiveSheds);
  Figures["baseline"]["false_not_run"] = 0;
  experiment_result Result = Session.finish(std::move(Figures));
  Result.Figures["false_not_run"] =
      Json::UInt64(Session.violations().FalseNotRun);
  return Result;
}

} // namespace tarragon::bench
