#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

#include <algorithm>
#include <csignal>

namespace tarragon::bench {

namespace {

constexpr double PerSecond = 100;
constexpr int OutcomeUnknown = 400;

auto orderTopology() -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 2;
  Topology.Versions = "7:3";
  Topology.Contracts.push_back(
      {"order",
       {serviceName(0)},
       "merge: by_key, deadline: 800ms, repeatable: false"});
  return Topology;
}

/// Over \p Length, one after the other: targets lose answers, targets and
/// instances are killed and paused, and the platform is down.
auto disturbances(cluster &Cluster, const milliseconds Length)
    -> std::vector<timed_action> {
  const auto Signal = [&Cluster](const std::size_t Entry, const int Number) {
    return [&Cluster, Entry, Number] { Cluster.signalEntry(Entry, Number); };
  };
  const auto Platform = [&Cluster](const std::string &Members) {
    return [&Cluster, Members] {
      Cluster.controlPlatform("/control/faults", Members);
    };
  };
  return {
      {shareOf(Length, 0.08),
       [&Cluster] { Cluster.postTarget(0, R"({"cut_every":7})"); }},
      {shareOf(Length, 0.12),
       [&Cluster] { Cluster.postTarget(1, R"({"fail_every":9})"); }},
      {shareOf(Length, 0.16),
       [&Cluster] { Cluster.postTarget(2, R"({"cross_every":11})"); }},
      {shareOf(Length, 0.22), [&Cluster] { Cluster.killTarget(0); }},
      {shareOf(Length, 0.30), [&Cluster] { Cluster.startTarget(0); }},
      {shareOf(Length, 0.34), Signal(1, SIGSTOP)},
      {shareOf(Length, 0.42), Signal(1, SIGCONT)},
      {shareOf(Length, 0.46), Platform(R"({"down":true})")},
      {shareOf(Length, 0.50), Signal(2, SIGKILL)},
      {shareOf(Length, 0.58), [&Cluster] { Cluster.startEntry(2); }},
      {shareOf(Length, 0.62), Signal(3, SIGSTOP)},
      {shareOf(Length, 0.66), Signal(3, SIGCONT)},
      {shareOf(Length, 0.70), Platform(R"({"down":false})")},
      {shareOf(Length, 0.74),
       [&Cluster] { Cluster.postTarget(1, R"({"freeze":true})"); }},
      {shareOf(Length, 0.82),
       [&Cluster] { Cluster.postTarget(1, R"({"freeze":false})"); }},
      {shareOf(Length, 0.80), Signal(4, SIGTERM)},
      // Restarts the instance only if its graceful stop has finished.
      {shareOf(Length, 0.97),
       [&Cluster] {
         if (Cluster.entryExit(4))
           Cluster.startEntry(4);
       }},
  };
}

auto countUnknown(const std::vector<call_record> &Records) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Records.begin(), Records.end(), [](const call_record &Record) {
        return Record.Code == OutcomeUnknown || Record.Code < 0;
      }));
}

} // namespace

/// Sends non-repeatable requests under all kinds of faults; callers resend them
/// through other instances if no answer is received.
auto runAtMostOnce(const session_options &Options) -> experiment_result {
  session_options LongTimeoutOptions = Options;
  LongTimeoutOptions.Load.Timeout = milliseconds(2000);
  const topology Topology = orderTopology();
  session Session(LongTimeoutOptions, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  schedule_plan Plan;
  Plan.Contract = "order";
  Plan.PerSecond = PerSecond;
  Plan.Repeatable = false;
  Plan.WithKey = true;
  Plan.Length = shareOf(Session.length(), 0.8);
  const auto Records = Session.playProductWith(
      Plan, disturbances(Session.processes(), Plan.Length));
  Plan.Length = shareOf(Session.length(), 0.12);
  const auto Naive = Session.playNaive(Plan);
  Json::Value Figures(Json::objectValue);
  Figures["outcome_unknown"] = Json::UInt64(countUnknown(Records));
  Figures["p50_ms"] = median(latencies(Records));
  Figures["p99_ms"] = quantile(latencies(Records), 0.99);
  Figures["baseline"]["run_twice"] = 0;
  Figures["baseline"]["false_not_run"] = 0;
  Figures["baseline"]["outcome_unknown"] =
      Json::UInt64(static_cast<std::size_t>((1 - completeShare(Naive)) *
                                            static_cast<double>(Naive.size())));
  experiment_result Result = Session.finish(std::move(Figures), false);
  Result.Figures["run_twice"] = Json::UInt64(Session.violations().RunTwice);
  Result.Figures["false_not_run"] =
      Json::UInt64(Session.violations().FalseNotRun);
  return Result;
}

} // namespace tarragon::bench
