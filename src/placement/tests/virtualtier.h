#pragma once

#include "placement/latencymodel.h"
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

/// Instances before shards of three targets each, in virtual time: work queues
/// for slots; targets pause, slow down, shed or go dark as told. Requests go
/// to the instances in turn; each knows only what it learned itself.
class virtual_tier {
public:
  struct target {
    int Slots = 5;
    double Slowness = 1;
    double ShedShare = 0;
    bool Dark = false;
    milliseconds PauseEvery{0};
    milliseconds PauseFor{0};
    milliseconds PausePhase{0};
  };

  struct load {
    std::size_t Shards = 10;
    double LeastShare = 0.89;
    int Attempts = 2;
    microseconds Gap{7000};
    microseconds Work{28000};
    milliseconds Objective{200};
    milliseconds Wait{2000};
    int Requests = 2000;
  };

  struct outcome {
    int Whole = 0;
    int Partial = 0;
    int Refused = 0;
    int Failed = 0;
    std::size_t Extra = 0;
    std::size_t Sent = 0;
    std::size_t SentNear = 0; ///< within the instance's failure domain
    std::vector<microseconds> Latencies; ///< of all answers

    auto quantile(double Share) -> microseconds;
    /// Share of answers within \p Limit, whole ones count 1.
    auto within(microseconds Limit) const -> double;
  };

  virtual_tier(std::size_t Shards, double BudgetRatio, std::uint64_t Seed,
               int InstanceCount = 1);

  /// Target \p Replica of \p Shard, to be changed before or within a run.
  auto targetOf(std::size_t Shard, std::size_t Replica) -> target &;

  /// Does \p Step at \p Time from the start of the run.
  auto at(milliseconds Time, std::function<void()> Step) -> void;

  auto run(const load &Load) -> outcome;

private:
  struct job {
    std::uint64_t Request = 0;
    attempt_key Key;
  };
  struct machine {
    target Kind;
    int Busy = 0;
    std::deque<job> Queue;
  };
  struct side {
    side(std::string Domain, time_point BornAt)
        : Domain(Domain), Targets(Domain), Budgets(BornAt) {}

    std::string Domain;
    target_set Targets;
    retry_budget_table Budgets;
    latency_model Latencies{milliseconds(66)};
  };
  struct request {
    side *Side = nullptr;
    std::unique_ptr<request_plan> Plan;
    time_point ReceivedAt;
    std::size_t Missing = 0;
    std::size_t Answered = 0;
    std::map<attempt_key, std::string> Targets;
    std::map<attempt_key, bool> Cancelled;
  };
  struct event {
    time_point At;
    std::uint64_t Number = 0;
    std::function<void()> Step;

    auto operator<(const event &Other) const -> bool {
      return std::tie(Other.At, Other.Number) < std::tie(At, Number);
    }
  };

  auto schedule(time_point At, std::function<void()> Step) -> void;
  auto perform(std::uint64_t Number, const plan_actions &Actions) -> void;
  auto arrive(const std::string &Target, job Job) -> void;
  auto begin(const std::string &Target, job Job) -> void;
  auto end(const std::string &Target, job Job, attempt_end End) -> void;
  auto resume(const machine &Machine) const -> time_point;
  auto wake(std::uint64_t Number) -> void;

  std::mt19937_64 Random;
  time_point Now{std::chrono::hours(1)};
  time_point Start = Now;
  std::vector<std::unique_ptr<side>> Sides;
  std::map<std::string, machine> Machines;
  std::map<std::uint64_t, request> Requests;
  std::priority_queue<event> Events;
  std::uint64_t NextEvent = 0;
  load Load;
  outcome Outcome;
};

} // namespace tarragon::placement
