#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

#include <csignal>

namespace tarragon::bench {

namespace {

constexpr double PerSecond = 100;

/// Sums over all targets.
struct connection_sums {
  double Opened = 0;
  double Refused = 0;
  double Runs = 0;
};

auto sums(cluster &Cluster) -> connection_sums {
  return {Cluster.sumOfTargets("connections_opened"),
          Cluster.sumOfTargets("connections_refused"),
          Cluster.sumOfTargets("runs")};
}

/// Returns the connections opened per thousand runs.
auto perThousand(const connection_sums &Before, const connection_sums &After)
    -> double {
  const double Runs = After.Runs - Before.Runs;
  return Runs > 0 ? (After.Opened - Before.Opened) * 1000 / Runs : 0;
}

} // namespace

/// Counts the connections open and opened while instances are replaced, two at
/// a time, and one target is slow.
auto runLimits(const session_options &Options) -> experiment_result {
  const topology Topology = storefront();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  cluster &Cluster = Session.processes();
  schedule_plan Plan;
  Plan.PerSecond = PerSecond;
  Plan.Length = shareOf(Session.length(), 0.8);
  const auto Replace = [&Cluster](const std::size_t Old) {
    return [&Cluster, Old] {
      Cluster.startEntry(Old + 6);
      Cluster.publishInstances({Cluster.entry(Old).Id});
      Cluster.signalEntry(Old, SIGTERM);
    };
  };
  const connection_sums Before = sums(Cluster);
  const auto Records = Session.playProductWith(
      Plan, {{shareOf(Plan.Length, 0.2), Replace(0)},
             {shareOf(Plan.Length, 0.2), Replace(1)},
             {shareOf(Plan.Length, 0.5),
              [&Cluster] { Cluster.postTarget(3, R"({"slow_factor":20})"); }},
             {shareOf(Plan.Length, 0.7), Replace(2)}});
  const connection_sums After = sums(Cluster);
  Plan.Length = shareOf(Session.length(), 0.12);
  const auto Naive = Session.playNaive(Plan);
  const connection_sums AfterNaive = sums(Cluster);
  Json::Value Figures(Json::objectValue);
  Figures["limit_exceeded"] = After.Refused - Before.Refused;
  Figures["new_connections_per_1000"] = perThousand(Before, After);
  Figures["open_peak"] = Cluster.sumOfTargets("connections_peak") /
                         static_cast<double>(Cluster.targets().size());
  Figures["complete"] = completeShare(Records);
  Figures["p99_ms"] = quantile(latencies(Records), 0.99);
  Figures["baseline"]["limit_exceeded"] = AfterNaive.Refused - After.Refused;
  Figures["baseline"]["new_connections_per_1000"] =
      perThousand(After, AfterNaive);
  Figures["baseline"]["complete"] = completeShare(Naive);
  experiment_result Result = Session.finish(std::move(Figures));
  if (After.Refused > Before.Refused)
    Result.Violations.push_back("connection limit exceeded");
  return Result;
}

} // namespace tarragon::bench
