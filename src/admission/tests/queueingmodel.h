#pragma once

#include "admission/groupdispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace tarragon::admission {

/// The parameters of a run of queueing_model. Service times are log-normal.
struct queueing_plan {
  bool Owned = true; ///< one owner per group; otherwise each coordinator
                     ///< dispatches itself
  double Load = 0.5; ///< as a share of the capacity of all slots
  int Groups = 10;
  int Instances = 7;
  int Slots = 5;
  int Connections = 40;
  double SlowFactor = 1; ///< of the first target of each group
  double HedgeBudget = 0.05;
  int Queries = 4000;
  milliseconds Deadline{1000};
  microseconds MeanService{10000};
  microseconds Wire{1000}; ///< between instance and target, one way
  microseconds Hop{1500};  ///< between coordinator and owner, one way
  std::uint64_t Seed = 1;
};

/// The results of a run of queueing_model.
struct queueing_figures {
  milliseconds Median{0};
  milliseconds Tail{0};     ///< 99th percentile of complete answers
  double CompleteShare = 0; ///< share of queries with every shard answered
  double Goodput = 0;       ///< answered subrequests per second, divided by the
                            ///< capacity
  double RefusedShare = 0;  ///< refusals by targets per attempt
  double ExtraShare = 0;    ///< additional attempts per started subrequest
  double SlowShare = 0;     ///< of attempts that went to the first target
};

/// A discrete-event simulation of instances, dispatchers and targets in virtual
/// time. Each query sends a subrequest to every group.
class queueing_model {
public:
  explicit queueing_model(const queueing_plan &Plan);
  auto run() -> queueing_figures;

private:
  struct model_target {
    int Busy = 0;
    std::map<attempt_id, int> Running; ///< the dispatcher of each attempt
  };
  struct query {
    time_point StartedAt;
    int OpenSubrequests = 0;
    bool Complete = true;
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
  auto startQuery() -> void;
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
  int StartedQueries = 0;
  double Attempts = 0, StartedSubrequests = 0, Sheds = 0, AttemptsToFirst = 0,
         Answers = 0;
};

} // namespace tarragon::admission
