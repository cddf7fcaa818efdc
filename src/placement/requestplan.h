#pragma once

#include "placement/types/admissiondecision.h"
#include "placement/types/admissionticket.h"
#include "placement/types/attemptend.h"
#include "placement/types/planaction.h"
#include "placement/types/plansettings.h"

#include <optional>
#include <string>
#include <vector>

namespace tarragon::placement {

class latency_model;
class query_admission;
class retry_budget_table;
class target_set;

/// The lifecycle of one request: chooses the targets of its parts, decides on
/// hedges and retries, and determines when its answer is final. A request to
/// one service has one part.
///
/// If a target pauses while it holds a part, or refuses it, the part is sent
/// to another target within the budget of extra attempts. A request that can
/// no longer be answered, because shards have lost their targets, ends
/// immediately. If some shards have too few targets left for all queries, each
/// query skips late parts, down to its minimum of parts, so that the queues of
/// these shards shrink for other queries.
///
/// Does no I/O: takes the time as an argument and returns actions.
class request_plan {
public:
  /// State shared by all plans; must outlive the plan.
  struct context {
    target_set &Targets;
    retry_budget_table &Budgets;
    latency_model &Latencies;             ///< of this kind of request
    query_admission *Admission = nullptr; ///< null: all queries are admitted
  };

  request_plan(context Context, plan_settings Settings);

  /// Sends the first attempts, or refuses the request if too many services are
  /// down.
  auto start(time_point Now) -> plan_actions;

  /// Records the end of an attempt and returns the next actions. Ignored for a
  /// cancelled attempt or a finished plan.
  auto onEnded(attempt_key Key, attempt_end End, time_point Now)
      -> plan_actions;

  /// Sends due attempts and hedges; to be called at nextWake() or later.
  auto onTimer(time_point Now) -> plan_actions;

  /// Cancels all attempts in flight after the caller disconnected.
  auto abandon(time_point Now) -> plan_actions;

  /// Ends the request before its deadline, as the instance stops: with the
  /// parts that are there, if they are enough.
  auto endNow(time_point Now) -> plan_actions;

  /// Brings the deadline forward by \p Span, in which the machine was suspended
  /// and the clock of this plan stood still; onTimer() is due afterwards.
  auto shorten(milliseconds Span) -> void;

  /// Returns when onTimer() is due.
  auto nextWake() const -> time_point { return Wake; }
  auto settings() const -> const plan_settings & { return Settings; }
  auto finished() const -> bool { return Finished; }

  /// Returns whether every part was answered.
  auto isComplete() const -> bool;

  /// Returns the decision on the admission of the query.
  auto admission() const -> const admission_decision & { return Admission; }

  /// Returns the number of attempts beyond the first of each part.
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
    std::vector<std::string> Tried; ///< target ids
    time_point HedgeAt;
    bool Answered = false;
    bool Waiting = false; ///< no target is available
    bool Skipped = false; ///< not sent, as it would be answered too late
    /// When to decide on a retry that waits for the ends of other attempts.
    std::optional<time_point> RetryAt;
    /// While the part is open, if admission is decided.
    std::optional<admission_ticket> Ticket;
  };
  struct part_counts {
    std::size_t Answered = 0;
    std::size_t Open = 0;          ///< in flight or waiting for a target
    std::size_t Unrecoverable = 0; ///< open, but all targets are unresponsive
  };

  /// Refuses the query if too few parts are likely to be answered in time.
  auto tryAdmit(std::size_t DownParts, time_point Now) -> bool;
  auto openPart(part &Part, time_point Now) -> void;
  auto closePart(part &Part, time_point Now) -> void;
  auto endAdmission(plan_verdict Verdict, time_point Now) -> void;
  auto skipLateParts(std::size_t DownParts, time_point Now) -> void;
  auto sendSkipped(time_point Now, plan_actions &Actions) -> bool;
  auto sendFirst(std::size_t Index, time_point Now, plan_actions &Actions)
      -> void;
  auto sendExtra(std::size_t Index, bool IsHedge, time_point Now,
                 plan_actions &Actions) -> bool;
  /// Retries a part whose attempt ended without an answer. While the budget is
  /// scarce, the decision waits until the other targets have shed or accepted
  /// theirs: the budget goes to queries that few retries complete.
  auto retry(std::size_t Index, time_point Now, plan_actions &Actions) -> void;
  /// Decides on the retries that are due, if any.
  auto decideRetries(time_point Now, plan_actions &Actions) -> void;
  /// Returns the number of parts that must be retried for the minimum.
  auto neededRetries() const -> std::size_t;
  /// Returns the probability that the best untried target runs \p Part.
  auto runShare(const part &Part, time_point Now) const -> double;
  auto send(std::size_t Index, const route::target_entry &Target,
            time_point Now, plan_actions &Actions) -> void;
  /// Returns the cost of a refusal of the next attempt of \p Part, in median
  /// latencies.
  auto refusalCost(const part &Part, time_point Now) const -> double;
  auto mayHedge(const part &Part) const -> bool;
  /// Returns whether a hedge of \p Part is likely to be answered earlier.
  auto mayHelp(const part &Part, time_point Now) const -> bool;
  auto hedgeDelay(const part &Part, time_point Now) const -> microseconds;
  auto isServiceDown(const part &Part, time_point Now) const -> bool;
  auto isUnrecoverable(const part &Part, time_point Now) const -> bool;
  auto countParts(time_point Now, bool CheckOutages) const -> part_counts;
  auto finishOrScheduleWake(time_point Now, plan_actions &Actions) -> void;
  auto finish(plan_verdict Verdict, time_point Now, plan_actions &Actions)
      -> void;
  auto finishUnanswered(time_point Now, plan_actions &Actions) -> void;
  auto cancelInFlight(std::size_t Index, time_point Now, plan_actions &Actions)
      -> void;
  auto anyMayHaveRun() const -> bool;
  auto retryDelay(time_point Now) const -> milliseconds;
  auto scheduleWake(time_point Now) -> void;

  context Context;
  plan_settings Settings;
  std::vector<part> Parts;
  std::optional<attempt_key> Failure;
  time_point Wake;
  time_point LastOutageCheck;
  admission_decision Admission;
  bool CountsAsOpen = false; ///< as an open query of the admission
  bool Finished = false;
};

} // namespace tarragon::placement
