#include "bench/core/pairedfigures.h"
#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

namespace tarragon::bench {

namespace {

constexpr int Pairs = 3;
constexpr double PerSecond = 80;
constexpr std::size_t ReplicasPerService = 3;
constexpr milliseconds ReactionTime{2000};

/// Returns the records scheduled at \p After the start of the window or later.
auto scheduledAfter(const std::vector<call_record> &Records,
                    const milliseconds After) -> std::vector<call_record> {
  std::vector<call_record> Later;
  for (const call_record &Record : Records)
    if (Record.Call.At >= After)
      Later.push_back(Record);
  return Later;
}

/// Keeps one target killed and another frozen during its lifetime.
class target_outage {
public:
  target_outage(cluster &Cluster, const std::size_t Killed,
                const std::size_t Frozen)
      : Cluster(Cluster), Killed(Killed), Frozen(Frozen) {
    Cluster.killTarget(Killed);
    Cluster.controlTarget(Frozen, R"({"freeze":true})");
  }

  ~target_outage() {
    Cluster.startTarget(Killed);
    Cluster.controlTarget(Frozen, R"({"freeze":false})");
  }

private:
  cluster &Cluster;
  std::size_t Killed;
  std::size_t Frozen;
};

} // namespace

/// Kills one target and freezes one of another service; both are restored after
/// each pair of windows.
auto runLostReplica(const session_options &Options) -> experiment_result {
  const topology Topology = storefront();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  const std::size_t First = Options.Cluster.Seed % Topology.ServiceCount;
  const std::size_t Second = (First + 1) % Topology.ServiceCount;
  const milliseconds PairLength = Session.length() / Pairs;
  schedule_plan Plan;
  Plan.PerSecond = PerSecond;
  const auto PlanFor = [&](const double Share) {
    Plan.Length = shareOf(PairLength, Share);
    return Plan;
  };
  paired_figures Product;
  paired_figures Baseline;
  std::vector<double> LateComplete;
  std::vector<double> NaiveLateComplete;
  for (int Pair = 0; Pair < Pairs; ++Pair) {
    const auto Healthy = Session.playProduct(PlanFor(0.18));
    const auto NaiveHealthy = Session.playNaive(PlanFor(0.14));
    std::vector<call_record> Disturbed;
    std::vector<call_record> NaiveDisturbed;
    {
      const target_outage Outage(Session.processes(),
                                 First * ReplicasPerService,
                                 Second * ReplicasPerService);
      Disturbed = Session.playProduct(PlanFor(0.4));
      NaiveDisturbed = Session.playNaive(PlanFor(0.22));
    }
    Product.add(Healthy, Disturbed);
    Baseline.add(NaiveHealthy, NaiveDisturbed);
    LateComplete.push_back(
        completeShare(scheduledAfter(Disturbed, ReactionTime)));
    NaiveLateComplete.push_back(
        completeShare(scheduledAfter(NaiveDisturbed, ReactionTime)));
  }
  Json::Value Figures = Product.figures();
  Figures["complete_after_2s"] = median(LateComplete);
  Figures["per_second"] = PerSecond;
  Figures["baseline"] = Baseline.figures();
  Figures["baseline"]["complete_after_2s"] = median(NaiveLateComplete);
  return Session.finish(std::move(Figures));
}

} // namespace tarragon::bench
