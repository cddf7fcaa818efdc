#pragma once

#include "placement/types/attemptend.h"
#include "placement/types/planaction.h"
#include "placement/types/plansettings.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragon::placement {

class latency_model;
class retry_budget_table;
class target_set;

/// The way of one request: which targets are asked for its parts, when once
/// more, and when its answer is final. A request to one service has one part.
///
/// Answers the loads "a target pauses while it holds a part", "a shard has
/// lost its targets" and "targets refuse part of their requests": a late part
/// is asked for elsewhere within the budget of extra attempts, and what can't
/// be answered any more is given up at once. Under the load "some shards have
/// too few targets left for all queries" each query leaves out, as far as it
/// may, those that would be late anyway, so that the others' queues shrink.
/// Pure: time comes in as an argument, actions go out.
class request_plan {
public:
  /// What plans share; must outlive the plan.
  struct context {
    target_set &Targets;
    retry_budget_table &Budgets;
    latency_model &Latencies; ///< of requests of this kind
  };

  request_plan(context Context, plan_settings Settings);

  auto start(time_point Now) -> plan_actions;

  /// An attempt ended. Not to be called after its cancellation.
  auto onEnded(attempt_key Key, attempt_end End, time_point Now)
      -> plan_actions;

  /// To be called at nextWake() or later.
  auto onTimer(time_point Now) -> plan_actions;

  /// The caller is gone: everything is cancelled.
  auto abandon(time_point Now) -> plan_actions;

  auto nextWake() const -> time_point { return Wake; }
  auto settings() const -> const plan_settings & { return Settings; }
  auto finished() const -> bool { return Finished; }

  /// Whether every part was answered.
  auto isWhole() const -> bool;

  /// Attempts beyond the first of each part.
  auto extraAttempts() const -> std::size_t;

private:
  struct attempt {
    std::string Target;
    time_point SentAt;
    std::optional<attempt_end> End;
  };
  struct part {
    std::string Service;
    std::vector<attempt> Attempts;
    std::vector<std::string> Tried;
    time_point HedgeAt;
    bool Answered = false;
    bool Waiting = false; ///< for a target with room
    bool LeftOut = false; ///< not asked, since it would be late
  };
  struct tally {
    std::size_t Answered = 0;
    std::size_t Open = 0;   ///< may still be answered
    std::size_t Doomed = 0; ///< open, but no target has hope
  };

  auto leaveOutLate(std::size_t Lost, time_point Now) -> void;
  auto askLeftOut(time_point Now, plan_actions &Actions) -> bool;
  auto sendFirst(std::size_t Index, time_point Now, plan_actions &Actions)
      -> void;
  auto sendAgain(std::size_t Index, bool IsHedge, time_point Now,
                 plan_actions &Actions) -> bool;
  auto send(std::size_t Index, const route::target_entry &Target,
            time_point Now, plan_actions &Actions) -> void;
  auto mayHedge(const part &Part) const -> bool;
  auto hedgeDelay(const part &Part, time_point Now) const -> microseconds;
  auto lost(const part &Part, time_point Now) const -> bool;
  auto isDoomed(const part &Part, time_point Now) const -> bool;
  auto count(time_point Now, bool LookForLoss) const -> tally;
  auto settle(time_point Now, plan_actions &Actions) -> void;
  auto finish(plan_verdict Verdict, time_point Now, plan_actions &Actions)
      -> void;
  auto giveUp(time_point Now, plan_actions &Actions) -> void;
  auto cancelOut(std::size_t Index, time_point Now, plan_actions &Actions)
      -> void;
  auto anyMayHaveRun() const -> bool;
  auto roomIn(time_point Now) const -> milliseconds;
  auto planWake(time_point Now) -> void;

  context Context;
  plan_settings Settings;
  std::vector<part> Parts;
  std::optional<attempt_key> Failure;
  time_point Wake;
  time_point LossLookedAt;
  bool Finished = false;
};

} // namespace tarragon::placement
