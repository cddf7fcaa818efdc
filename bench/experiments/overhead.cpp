#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

namespace tarragon::bench {

namespace {

constexpr int Pairs = 3;
constexpr double LightPerSecond = 40;
constexpr double HeavyPerSecond = 400;

/// Returns a topology of one service with short runs of constant duration.
auto oneFastService() -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 1;
  Topology.ServiceMeanMs = 1;
  Topology.ServiceSigma = 0;
  Topology.ItemCount = 20;
  return Topology;
}

} // namespace

/// Measures the latency that an instance adds to a target's, and its CPU time
/// per subrequest under load over ten services.
auto runOverhead(const session_options &Options) -> experiment_result {
  std::vector<double> Added;
  std::vector<double> Direct;
  Json::Value Figures(Json::objectValue);
  {
    session Session(Options, oneFastService());
    if (const auto Error = Session.start())
      return startFailure(*Error);
    schedule_plan Plan;
    Plan.PerSecond = LightPerSecond;
    Plan.Length = shareOf(Session.length(), 0.5 / Pairs / 2);
    for (int Pair = 0; Pair < Pairs; ++Pair) {
      const auto Product = Session.playProduct(Plan);
      const auto Naive = Session.playNaive(Plan);
      Direct.push_back(median(latencies(Naive)));
      Added.push_back(median(latencies(Product)) - Direct.back());
    }
  }
  topology Topology = storefront();
  Topology.ServiceMeanMs = 2;
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  schedule_plan Plan;
  Plan.PerSecond = HeavyPerSecond;
  Plan.Length = shareOf(Session.length(), 0.3);
  const milliseconds CpuBefore = Session.processes().entryCpu();
  const double RunsBefore = Session.processes().sumOfTargets("runs");
  const auto Records = Session.playProduct(Plan);
  const double Runs = Session.processes().sumOfTargets("runs") - RunsBefore;
  const std::chrono::duration<double> Cpu =
      Session.processes().entryCpu() - CpuBefore;
  Figures["added_p50_ms"] = median(Added);
  Figures["subrequests_per_core_s"] =
      Cpu.count() > 0 ? Runs / Cpu.count() : 0.0;
  Figures["cores_used"] =
      Cpu.count() / std::chrono::duration<double>(Plan.Length).count();
  Figures["heavy_p50_ms"] = median(latencies(Records));
  Figures["heavy_p99_ms"] = quantile(latencies(Records), 0.99);
  Figures["heavy_complete"] = completeShare(Records);
  Figures["baseline"]["added_p50_ms"] = 0.0;
  Figures["baseline"]["subrequests_per_core_s"] = 0.0;
  Figures["baseline"]["p50_ms"] = median(Direct);
  return Session.finish(std::move(Figures));
}

} // namespace tarragon::bench
