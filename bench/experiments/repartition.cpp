#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

namespace tarragon::bench {

namespace {

constexpr int Pairs = 3;
constexpr double PerSecond = 60;

/// The step from an index version to the next one with another shard count.
struct version_step {
  std::string Old;
  std::string Both;
  std::string New;
  held_version Next;
};

auto steps() -> std::vector<version_step> {
  return {{"7:2", "7:2,8:3", "8:3", {8, 3}},
          {"8:3", "8:3,9:1", "9:1", {9, 1}},
          {"9:1", "9:1,10:4", "10:4", {10, 4}}};
}

auto smallStorefront() -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 5;
  Topology.Versions = "7:2";
  return Topology;
}

/// Targets add the next version one by one over the first half of \p Length and
/// drop the previous one over the second half.
auto rollOut(cluster &Cluster, const version_step &Step,
             const milliseconds Length) -> std::vector<timed_action> {
  std::vector<timed_action> Actions;
  const std::size_t Count = Cluster.targets().size();
  for (std::size_t Number = 0; Number < Count; ++Number) {
    const double Progress =
        static_cast<double>(Number) / static_cast<double>(Count);
    const auto Set = [&Cluster, Number](const std::string &Versions) {
      return [&Cluster, Number, Versions] {
        Cluster.postTarget(Number, R"({"versions":")" + Versions + "\"}");
      };
    };
    Actions.push_back({shareOf(Length, 0.05 + 0.4 * Progress), Set(Step.Both)});
    Actions.push_back({shareOf(Length, 0.5 + 0.4 * Progress), Set(Step.New)});
  }
  Actions.push_back({shareOf(Length, 0.47),
                     [&Cluster, Step] { Cluster.publishSnapshot(Step.New); }});
  return Actions;
}

} // namespace

/// Rolls out index versions with different shard counts under load.
auto runRepartition(const session_options &Options) -> experiment_result {
  const topology Topology = smallStorefront();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  cluster &Cluster = Session.processes();
  const milliseconds PairLength = Session.length() / Pairs;
  std::vector<double> Complete;
  std::vector<double> NaiveComplete;
  std::vector<double> Tails;
  invariant_violations Naive;
  for (const version_step &Step : steps()) {
    Session.audit().addVersion(Step.Next);
    schedule_plan Plan;
    Plan.PerSecond = PerSecond;
    Plan.Length = shareOf(PairLength, 0.7);
    const auto Records =
        Session.playProductWith(Plan, rollOut(Cluster, Step, Plan.Length));
    Complete.push_back(completeShare(Records));
    Tails.push_back(quantile(latencies(Records), 0.99));
    // The baseline requests the new version while every sixth target, the first
    // replica of every second service, holds only the old one.
    Session.naive().useVersion(Step.Next);
    Plan.Length = shareOf(PairLength, 0.25);
    for (std::size_t Number = 0; Number < Cluster.targets().size(); Number += 6)
      Cluster.controlTarget(Number, R"({"versions":")" + Step.Old + "\"}");
    const auto NaiveRecords = Session.playNaive(Plan);
    for (std::size_t Number = 0; Number < Cluster.targets().size(); Number += 6)
      Cluster.controlTarget(Number, R"({"versions":")" + Step.New + "\"}");
    NaiveComplete.push_back(completeShare(NaiveRecords));
    const invariant_violations Found = Session.checkNaive(NaiveRecords);
    Naive.Mixed += Found.Mixed;
    Naive.CoverageErrors += Found.CoverageErrors;
  }
  Json::Value Figures(Json::objectValue);
  Figures["complete"] = median(Complete);
  Figures["p99_ms"] = median(Tails);
  Figures["baseline"]["complete"] = median(NaiveComplete);
  Figures["baseline"]["mixed"] = Json::UInt64(Naive.Mixed);
  Figures["baseline"]["coverage_errors"] = Json::UInt64(Naive.CoverageErrors);
  experiment_result Result = Session.finish(std::move(Figures));
  Result.Figures["mixed"] = Json::UInt64(Session.violations().Mixed);
  Result.Figures["coverage_errors"] =
      Json::UInt64(Session.violations().CoverageErrors);
  return Result;
}

} // namespace tarragon::bench
