#pragma once

#include "placement/latencymodel.h"
#include "placement/queryadmission.h"
#include "placement/requestplan.h"
#include "placement/retrybudgettable.h"
#include "placement/targetset.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace tarragon::placement {

/// A simulation in virtual time of instances in front of shards with three
/// targets each. Attempts queue for the slots of a target; targets pause, slow
/// down, shed attempts or stop answering as configured. Requests go to the
/// instances in turn; each instance knows only its own measurements.
class virtual_tier {
public:
  struct target {
    int Slots = 5;
    double Slowness = 1;
    double ShedShare = 0;          ///< share of attempts shed
    std::size_t MaxQueue = 100000; ///< attempts beyond it are shed
    bool Unresponsive = false;
    milliseconds PauseEvery{0};
    milliseconds PauseFor{0};
    milliseconds PausePhase{0};
  };

  struct load {
    std::size_t Shards = 10;
    double MinShare = 0.89;
    int MaxAttempts = 2;
    microseconds ArrivalInterval{7000};
    microseconds MedianWork{28000};
    milliseconds Objective{200};
    milliseconds Timeout{2000};
    int Requests = 2000;
    /// A caller whose request isn't answered sends it again at once, this
    /// often.
    int CallerRetries = 0;
    /// The share of the callers that send again.
    double CallerRetryShare = 1;
    /// Whether they do so at once also if they were told to wait.
    bool IgnoresRetryAfter = false;
    bool HasAdmission = true; ///< of whole queries
    /// Requests of this span before its end arrive together at its end.
    milliseconds GatherFrom{0};
    milliseconds GatherUntil{0};
  };

  struct outcome {
    int Complete = 0;
    int Partial = 0;
    int Refused = 0;
    int Failed = 0;
    std::size_t Extra = 0;
    std::size_t Sent = 0;
    std::size_t SentOwnDomain = 0;       ///< to the instance's failure domain
    std::vector<microseconds> Latencies; ///< of all answers
    /// Counted for each time that a caller sends its request.
    int Arrivals = 0;
    int InTimeArrivals = 0;  ///< answered within the objective
    int LateArrivals = 0;    ///< answered later
    int FailedArrivals = 0;  ///< ended without an answer, may have run
    int RefusedArrivals = 0; ///< not run

    /// Returns the latency quantile \p Share; sorts the latencies.
    auto quantile(double Share) -> microseconds;
    /// Returns the share of requests that were answered within \p Limit.
    auto within(microseconds Limit) const -> double;
  };

  virtual_tier(std::size_t Shards, double BudgetRatio, std::uint64_t Seed,
               int InstanceCount = 1, int Slots = 5);

  /// Calls \p Step for every target.
  auto
  forEachTarget(const std::function<void(std::size_t Shard, std::size_t Replica,
                                         target &)> &Step) -> void;

  /// Returns target \p Replica of \p Shard, which may be changed before or
  /// during a run.
  auto targetOf(std::size_t Shard, std::size_t Replica) -> target &;

  /// Runs \p Step at \p Time after the start of the run.
  auto at(milliseconds Time, std::function<void()> Step) -> void;

  /// Replaces all instances by new ones, which have measured nothing yet.
  auto restartInstances() -> void;

  /// Sends all requests of \p Load and returns once every event is processed.
  auto run(const load &Load) -> outcome;

private:
  struct job {
    std::uint64_t Request = 0;
    attempt_key Key;
  };
  struct simulated_target {
    target Behavior;
    int BusySlots = 0;
    std::deque<job> Queue;
  };
  struct instance {
    instance(std::string Domain, time_point StartedAt)
        : Domain(Domain), Targets(Domain), Budgets(StartedAt) {}

    std::string Domain;
    target_set Targets;
    retry_budget_table Budgets;
    latency_model Latencies{milliseconds(66)};
    query_admission Admission;
  };
  struct request {
    instance *Instance = nullptr;
    std::unique_ptr<request_plan> Plan;
    time_point ReceivedAt; ///< when the caller sent it first
    time_point ArrivedAt;
    std::size_t Missing = 0;
    std::size_t Answered = 0;
    std::map<attempt_key, std::string> Targets;
    std::map<attempt_key, bool> Cancelled;
    int RetriesLeft = 0;
  };
  struct event {
    time_point At;
    std::uint64_t Number = 0;
    std::function<void()> Step;

    auto operator<(const event &Other) const -> bool {
      return std::tie(Other.At, Other.Number) < std::tie(At, Number);
    }
  };

  auto addInstances(time_point StartedAt) -> void;
  auto schedule(time_point At, std::function<void()> Step) -> void;
  auto count(const request &Request, plan_verdict Verdict) -> void;
  auto perform(std::uint64_t Number, const plan_actions &Actions) -> void;
  auto receive(const std::string &Target, job Job) -> void;
  auto startRun(const std::string &Target, job Job) -> void;
  auto end(const std::string &Target, job Job, attempt_end End) -> void;
  auto nextRunTime(const simulated_target &Simulated) const -> time_point;
  auto wake(std::uint64_t Number) -> void;
  auto arrive(time_point FirstSentAt, int RetriesLeft) -> void;

  std::mt19937_64 Random;
  double BudgetRatio;
  int InstanceCount;
  time_point Now{std::chrono::hours(1)};
  time_point Start = Now;
  std::vector<std::unique_ptr<instance>> Instances;
  std::vector<std::unique_ptr<instance>> Replaced;
  std::vector<route::target_entry> Entries;
  std::map<std::string, simulated_target> SimulatedTargets;
  std::map<std::uint64_t, request> Requests;
  std::priority_queue<event> Events;
  std::uint64_t NextEvent = 0;
  std::uint64_t NextRequest = 0;
  load Load;
  outcome Outcome;
};

} // namespace tarragon::placement
