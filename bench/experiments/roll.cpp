#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

#include <algorithm>
#include <csignal>

namespace tarragon::bench {

namespace {

constexpr double PerSecond = 80;
constexpr milliseconds ExitTimeout{8000};
constexpr milliseconds PollPeriod{50};

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// Returns the number of requests without a complete or partial answer.
auto countFailed(const std::vector<call_record> &Records) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Records.begin(), Records.end(), [](const call_record &Record) {
        return Record.Code != 0 && Record.Code != 1;
      }));
}

/// Returns how many of the first \p Count instances did not exit with status 0.
auto badExits(session &Session, const std::size_t Count) -> std::size_t {
  const time_point Deadline = now() + ExitTimeout;
  std::size_t Bad = 0;
  for (std::size_t Number = 0; Number < Count; ++Number) {
    while (!Session.processes().entryExit(Number) && now() < Deadline)
      Session.loop().runUntil(now() + PollPeriod);
    if (Session.processes().entryExit(Number) != 0)
      ++Bad;
  }
  return Bad;
}

} // namespace

/// Replaces every instance, one after the other, under load.
auto runRoll(const session_options &Options) -> experiment_result {
  const topology Topology = storefront();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  cluster &Cluster = Session.processes();
  schedule_plan Plan;
  Plan.PerSecond = PerSecond;
  Plan.Length = shareOf(Session.length(), 0.8);
  std::vector<timed_action> Actions;
  std::vector<instance_id> Leaving;
  for (std::size_t Number = 0; Number < Topology.EntryCount; ++Number) {
    const double Progress =
        static_cast<double>(Number) / static_cast<double>(Topology.EntryCount);
    Actions.push_back({shareOf(Plan.Length, 0.04 + 0.85 * Progress),
                       [&Cluster, &Leaving, &Topology, Number] {
                         Cluster.startEntry(Topology.EntryCount + Number);
                         Cluster.publishInstances(Leaving);
                       }});
    Actions.push_back({shareOf(Plan.Length, 0.1 + 0.85 * Progress),
                       [&Cluster, &Leaving, Number] {
                         Leaving.push_back(Cluster.entry(Number).Id);
                         Cluster.publishInstances(Leaving);
                         Cluster.signalEntry(Number, SIGTERM);
                       }});
  }
  const auto Records = Session.playProductWith(Plan, Actions);
  const std::size_t BadExits = badExits(Session, Topology.EntryCount);
  Plan.Length = shareOf(Session.length(), 0.08);
  const auto Naive = Session.playNaive(Plan);
  Json::Value Figures(Json::objectValue);
  Figures["failed"] = Json::UInt64(countFailed(Records));
  Figures["complete"] = completeShare(Records);
  Figures["p99_ms"] = quantile(latencies(Records), 0.99);
  Figures["bad_exits"] = Json::UInt64(BadExits);
  Figures["resent"] = Json::UInt64(static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(),
                    [](const auto &Record) { return Record.Sends > 1; })));
  Figures["baseline"]["failed"] = Json::UInt64(countFailed(Naive));
  Figures["baseline"]["complete"] = completeShare(Naive);
  return Session.finish(std::move(Figures));
}

/// Takes the platform down for most of the run; an instance restarts and
/// another one joins during the outage.
auto runOutage(const session_options &Options) -> experiment_result {
  const topology Topology = storefront();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  cluster &Cluster = Session.processes();
  schedule_plan Plan;
  Plan.PerSecond = PerSecond;
  Plan.Length = shareOf(Session.length(), 0.75);
  const std::size_t Joining = Topology.EntryCount;
  const auto Fault = [&Cluster](const std::string &Members) {
    return [&Cluster, Members] {
      Cluster.controlPlatform("/control/faults", Members);
    };
  };
  // The joining instance has the addresses of the others only from its
  // settings.
  const auto Records = Session.playProductWith(
      Plan,
      {{shareOf(Plan.Length, 0.1), Fault(R"({"down":true})")},
       {shareOf(Plan.Length, 0.3),
        [&Cluster] { Cluster.signalEntry(0, SIGKILL); }},
       {shareOf(Plan.Length, 0.35), [&Cluster] { Cluster.startEntry(0); }},
       {shareOf(Plan.Length, 0.4),
        [&Cluster, Joining] { Cluster.startEntry(Joining); }}});
  const bool Restarted = Cluster.waitEntry(0, milliseconds(200));
  const bool Joined = Cluster.waitEntry(Joining, milliseconds(200));
  Cluster.controlPlatform("/control/faults", R"({"down":false})");
  const bool JoinedAfter = Cluster.waitEntry(Joining, milliseconds(3000));
  Plan.Length = shareOf(Session.length(), 0.08);
  const auto Naive = Session.playNaive(Plan);
  Json::Value Figures(Json::objectValue);
  Figures["failed"] = Json::UInt64(countFailed(Records));
  Figures["joined"] = Joined;
  Figures["restarted"] = Restarted;
  Figures["joined_after"] = JoinedAfter;
  Figures["complete"] = completeShare(Records);
  Figures["p99_ms"] = quantile(latencies(Records), 0.99);
  Figures["baseline"]["failed"] = Json::UInt64(countFailed(Naive));
  Figures["baseline"]["joined"] = Json::Value();
  return Session.finish(std::move(Figures));
}

} // namespace tarragon::bench
