#include "bench/core/stats.h"
#include "bench/experiments/experiments.h"

#include <json/json.h>

#include <algorithm>

namespace tarragon::bench {

namespace {

constexpr double PerSecond = 40;
constexpr int Changes = 8;
constexpr milliseconds PollPeriod{25};
constexpr milliseconds PropagationLimit{5000};

auto now() -> time_point { return std::chrono::steady_clock::now(); }

auto smallStorefront() -> topology {
  topology Topology = storefront();
  Topology.ServiceCount = 3;
  return Topology;
}

/// Tracks the configuration version in force at each instance.
class version_watch {
public:
  explicit version_watch(session &Session)
      : Session(Session), Seen(Session.processes().entryCount(), 0) {}

  /// Waits until all instances have at least \p Version. Returns the seconds
  /// elapsed since \p Since, at least PropagationLimit on timeout.
  auto waitForAll(const std::uint64_t Version, const time_point Since)
      -> double {
    while (now() - Since < PropagationLimit) {
      if (pollVersions() >= Version)
        break;
      Session.loop().runUntil(now() + PollPeriod);
    }
    return std::chrono::duration<double>(now() - Since).count();
  }

  std::size_t Reverted = 0;

private:
  /// Polls all instances and returns the lowest version that is in force.
  auto pollVersions() -> std::uint64_t {
    for (std::size_t Number = 0; Number < Seen.size(); ++Number) {
      const auto Version = Session.processes()
                               .admin(Number, "/admin/v1/config")["version"]
                               .asUInt64();
      if (Version < Seen[Number])
        ++Reverted;
      Seen[Number] = std::max(Seen[Number], Version);
    }
    return *std::min_element(Seen.begin(), Seen.end());
  }

  session &Session;
  std::vector<std::uint64_t> Seen;
};

/// Returns a deployment file that is unique by its deadline.
auto textWith(const topology &Topology, const int Change) -> std::string {
  topology Changed = Topology;
  Changed.Contracts.front().Options =
      "merge: top_k, limit: 10, hedge_budget: 0.05, deadline: " +
      std::to_string(600 + Change) + "ms";
  return deploymentText(Changed);
}

} // namespace

/// Applies configuration changes under load, each followed by a conflicting one
/// with the same base at another instance.
auto runConfig(const session_options &Options) -> experiment_result {
  const topology Topology = smallStorefront();
  session Session(Options, Topology);
  if (const auto Error = Session.start())
    return startFailure(*Error);
  schedule_plan Plan;
  Plan.PerSecond = PerSecond;
  Plan.Length = shareOf(Session.length(), 0.7);
  std::vector<call_record> Records;
  Session.client().begin(Session.nextSchedule(Plan), now(), Records);
  version_watch Watch(Session);
  std::vector<double> PropagationTimes;
  std::uint64_t Base = 1;
  std::size_t BothAccepted = 0;
  std::size_t NoneAccepted = 0;
  for (int Change = 1; Change <= Changes; ++Change) {
    const time_point Begin = now();
    const auto Accepted = [&](const std::size_t Entry, const int Number) {
      return Session.processes()
                 .apply(Entry, textWith(Topology, Number),
                        "change-" + std::to_string(Number), Base)["code"]
                 .asInt() == 0;
    };
    const bool First = Accepted(Change % 6, 2 * Change);
    const bool Second = Accepted((Change + 3) % 6, 2 * Change + 1);
    BothAccepted += First && Second ? 1 : 0;
    NoneAccepted += !First && !Second ? 1 : 0;
    if (First || Second)
      ++Base;
    PropagationTimes.push_back(Watch.waitForAll(Base, Begin));
  }
  Session.loop().runUntilIdle(now() + Plan.Length);
  Session.addRecords(Records);
  Json::Value Figures(Json::objectValue);
  Figures["p99_s"] = quantile(PropagationTimes, 0.99);
  Figures["p50_s"] = median(PropagationTimes);
  Figures["reverted"] = Json::UInt64(Watch.Reverted);
  Figures["both_accepted"] = Json::UInt64(BothAccepted);
  Figures["none_accepted"] = Json::UInt64(NoneAccepted);
  Figures["complete"] = completeShare(Records);
  Figures["baseline"]["p99_s"] = Json::Value();
  Figures["baseline"]["reverted"] = Json::Value();
  experiment_result Result = Session.finish(std::move(Figures));
  if (Watch.Reverted > 0)
    Result.Violations.push_back("an accepted configuration reverted");
  if (BothAccepted > 0)
    Result.Violations.push_back("two changes with the same base were accepted");
  return Result;
}

} // namespace tarragon::bench
