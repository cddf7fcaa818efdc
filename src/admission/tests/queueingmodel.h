#pragma once

#include "admission/groupdispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace tarragon::admission {

/// What a run of queueing_model is given. Service times are log-normal.
struct queueing_plan {
  bool Owned = true; ///< one owner a group, else each root dispatches itself
  double Load = 0.5; ///< of all slots
  int Groups = 10;
  int Instances = 7;
  int Slots = 5;
  int Connections = 40;
  double SlowFactor = 1; ///< of the first target of each group
  double HedgeBudget = 0.05;
  int Queries = 4000;
  milliseconds Deadline{1000};
  microseconds MeanService{10000};
  microseconds Wire{1000}; ///< to a target, each way
  microseconds Hop{1500};  ///< from root to owner, each way
  std::uint64_t Seed = 1;
};

/// What a run of queueing_model gave.
struct queueing_figures {
  milliseconds Median{0};
  milliseconds Tail{0}; ///< 99th percentile of whole answers
  double Whole = 0;     ///< share of queries with every shard answered
  double Goodput = 0;   ///< answered subrequests a second over the capacity
  double Refused = 0;   ///< refusals by targets per attempt
  double Extra = 0;     ///< attempts beyond one per subrequest started
  double SlowShare = 0; ///< of attempts that went to the first target
};

/// Instances, dispatchers and targets in virtual time, one event after the
/// other; each query asks every group.
class queueing_model {
public:
  explicit queueing_model(const queueing_plan &Plan);
  auto run() -> queueing_figures;

private:
  struct model_target {
    int Busy = 0;
    std::map<attempt_id, int> Running; ///< dispatcher of each
  };
  struct query {
    time_point AskedAt;
    int Open = 0;
    bool Whole = true;
  };
  struct event {
    time_point At;
    std::uint64_t Order;
    std::function<void()> Run;
    auto operator<(const event &Other) const -> bool {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  auto at(time_point Moment, std::function<void()> Run) -> void;
  auto ask() -> void;
  auto submit(int Dispatcher, subrequest Request) -> void;
  auto apply(int Dispatcher, dispatch_actions Actions) -> void;
  auto begin(int Dispatcher, const start_attempt &Start) -> void;
  auto finish(int Dispatcher, const target_id &Target, const attempt_id &Id,
              attempt_outcome Outcome) -> void;
  auto settle(const settlement &Settlement) -> void;

  queueing_plan Plan;
  std::mt19937_64 Random;
  std::lognormal_distribution<double> Service;
  std::exponential_distribution<double> Gap;
  time_point Now{std::chrono::hours{1}};
  std::uint64_t Order = 0;
  std::priority_queue<event> Events;
  std::vector<std::unique_ptr<group_dispatcher>> Dispatchers;
  std::vector<time_point> Wakes;
  std::map<target_id, model_target> Targets;
  std::map<std::uint64_t, query> Queries;
  std::vector<microseconds> Latencies;
  int Asked = 0;
  double Attempts = 0, Firsts = 0, Sheds = 0, ToFirst = 0, Answers = 0;
};

} // namespace tarragon::admission
