#include "bench/core/pairedfigures.h"
#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

namespace tarragon::bench {

namespace {

constexpr int Pairs = 3;
constexpr double PerSecond = 80;
constexpr std::uint64_t ReplicasPerService = 3;

auto requestedShards(const std::vector<call_record> &Records) -> double {
  double Sum = 0;
  for (const call_record &Record : Records)
    Sum += static_cast<double>(Record.Asked);
  return Sum;
}

/// Plays load on the product. Returns the runs in excess of one per requested
/// shard, as a share of the requested shards.
auto playAndCountExtraRuns(session &Session, const schedule_plan &Plan,
                           std::vector<call_record> &Records) -> double {
  const double Before = Session.processes().sumOfTargets("runs");
  Records = Session.playProduct(Plan);
  const double Runs = Session.processes().sumOfTargets("runs") - Before;
  const double Asked = requestedShards(Records);
  return Asked > 0 ? Runs / Asked - 1 : 0;
}

} // namespace

/// Slows one target, a first replica that the baseline uses, by a factor of 20.
auto runStraggler(const session_options &Options) -> experiment_result {
  const topology Topology = storefront();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  const std::size_t Slow =
      Options.Cluster.Seed % Topology.ServiceCount * ReplicasPerService;
  const milliseconds PairLength = Session.length() / Pairs;
  schedule_plan Plan;
  Plan.PerSecond = PerSecond;
  const auto PlanFor = [&](const double Share) {
    Plan.Length = shareOf(PairLength, Share);
    return Plan;
  };
  paired_figures Product;
  paired_figures Baseline;
  std::vector<double> ExtraLoads;
  std::vector<double> HealthyExtraLoads;
  for (int Pair = 0; Pair < Pairs; ++Pair) {
    std::vector<call_record> Healthy;
    std::vector<call_record> Disturbed;
    HealthyExtraLoads.push_back(
        playAndCountExtraRuns(Session, PlanFor(0.22), Healthy));
    const auto NaiveHealthy = Session.playNaive(PlanFor(0.16));
    Session.processes().controlTarget(Slow, R"({"slow_factor":20})");
    ExtraLoads.push_back(
        playAndCountExtraRuns(Session, PlanFor(0.36), Disturbed));
    const auto NaiveDisturbed = Session.playNaive(PlanFor(0.2));
    Session.processes().controlTarget(Slow, R"({"slow_factor":1})");
    Product.add(Healthy, Disturbed);
    Baseline.add(NaiveHealthy, NaiveDisturbed);
  }
  Json::Value Figures = Product.figures();
  Figures["extra_load"] = median(ExtraLoads);
  Figures["healthy_extra_load"] = median(HealthyExtraLoads);
  Figures["slow_target"] = Session.processes().targets()[Slow].Id;
  Figures["per_second"] = PerSecond;
  Figures["baseline"] = Baseline.figures();
  Figures["baseline"]["extra_load"] = 0.0;
  return Session.finish(std::move(Figures));
}

} // namespace tarragon::bench
