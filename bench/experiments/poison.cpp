#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"
#include "global/hash.h"

#include <algorithm>
#include <map>

namespace tarragon::bench {

namespace {

constexpr double OthersPerSecond = 60;
constexpr milliseconds PoisonPeriod{250};
constexpr milliseconds CheckPeriod{20};
constexpr milliseconds RestartTime{1500};
constexpr char PoisonBody[] = "poison-of-one-caller";

auto poisonTopology() -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 4;
  Topology.Contracts.push_back(
      {"lookup", {serviceName(0)}, "merge: top_k, limit: 10, deadline: 600ms"});
  return Topology;
}

/// Restarts crashed targets after RestartTime and records the maximum number
/// that are down at once.
class restarter {
public:
  explicit restarter(cluster &Cluster) : Cluster(Cluster) {}

  auto checkTargets(const milliseconds At) -> void {
    for (std::size_t Number = 0; Number < Cluster.targets().size(); ++Number) {
      const bool Down = Cluster.targetExited(Number);
      if (Down && !DownSince.contains(Number)) {
        DownSince[Number] = At;
        ++Crashes;
      }
      if (!Down || At - DownSince[Number] < RestartTime)
        continue;
      Cluster.startTarget(Number);
      DownSince.erase(Number);
    }
    MaxDown = std::max(MaxDown, DownSince.size());
  }

  std::size_t MaxDown = 0;
  std::size_t Crashes = 0;

private:
  cluster &Cluster;
  std::map<std::size_t, milliseconds> DownSince;
};

/// Checks the runs of the poison request. All sends have the same body, so that
/// the run log cannot be compared with each send: the total of runs must not
/// exceed the attempts of the sends that were not answered "not run". Returns
/// the number of runs.
auto checkPoison(const std::vector<call_record> &Records,
                 const std::vector<run_event> &Events,
                 std::vector<std::string> &Violations) -> std::size_t {
  std::size_t Allowed = 0;
  for (const call_record &Record : Records)
    if (!reportsNotRun(Record))
      Allowed += Record.Attempts;
  const std::uint64_t Request = hash64(PoisonBody);
  const auto Runs = static_cast<std::size_t>(std::count_if(
      Events.begin(), Events.end(), [Request](const run_event &Event) {
        return Event.Event == "start" && Event.Request == Request;
      }));
  if (Runs > Allowed)
    Violations.push_back("false not_run: poison ran " + std::to_string(Runs) +
                         " times, " + std::to_string(Allowed) +
                         " attempts reported");
  return Runs;
}

/// Returns a schedule that repeats the poison request.
auto poisonCalls(const milliseconds Length) -> std::vector<scheduled_call> {
  std::vector<scheduled_call> Calls;
  for (milliseconds At = PoisonPeriod; At < Length; At += PoisonPeriod)
    Calls.push_back({At, "lookup", PoisonBody, {}, true});
  return Calls;
}

auto checkActions(restarter &Restarter, const milliseconds Length)
    -> std::vector<timed_action> {
  std::vector<timed_action> Actions;
  for (milliseconds At{0}; At < Length; At += CheckPeriod)
    Actions.push_back({At, [&Restarter, At] { Restarter.checkTargets(At); }});
  return Actions;
}

} // namespace

/// Sends a poison request, which crashes each target that runs it, for the
/// whole window along with other requests.
auto runPoison(const session_options &Options) -> experiment_result {
  const topology Topology = poisonTopology();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  restarter Restarter(Session.processes());
  schedule_plan Plan;
  Plan.PerSecond = OthersPerSecond;
  Plan.Length = shareOf(Session.length(), 0.85);
  std::vector<call_record> Poisoned;
  Session.client().begin(poisonCalls(Plan.Length),
                         std::chrono::steady_clock::now(), Poisoned);
  const auto Others =
      Session.playProductWith(Plan, checkActions(Restarter, Plan.Length));
  std::map<int, std::size_t> PoisonCodes;
  for (const call_record &Record : Poisoned)
    ++PoisonCodes[Record.Code];
  Json::Value Figures(Json::objectValue);
  Figures["targets_down_at_once"] = Json::UInt64(Restarter.MaxDown);
  Figures["crashes"] = Json::UInt64(Restarter.Crashes);
  Figures["others_complete"] = completeShare(Others);
  Figures["others_p99_ms"] = quantile(latencies(Others), 0.99);
  for (const auto &[Code, Count] : PoisonCodes)
    Figures["poison_codes"][std::to_string(Code)] = Json::UInt64(Count);
  // The baseline would send the poison request to the first replica each time,
  // so that its other requests miss that service for the whole window.
  Figures["baseline"]["targets_down_at_once"] = 1;
  Figures["baseline"]["others_complete"] = 0.0;
  experiment_result Result = Session.finish(std::move(Figures));
  Result.Figures["poison_runs"] = Json::UInt64(checkPoison(
      Poisoned, readRunLog(Session.processes().runLog()), Result.Violations));
  return Result;
}

} // namespace tarragon::bench
