#include "placement/requestplan.h"

#include "placement/internal/retrycosts.h"
#include "placement/latencymodel.h"
#include "placement/retrybudgettable.h"
#include "placement/targetset.h"

#include <algorithm>

namespace tarragon::placement {

namespace {

using internal::AmpleRetryShare;
using internal::LostPartCost;

/// The hedge delay is this latency quantile times a factor that grows from
/// MinHedgeFactor to MaxHedgeFactor as the hedge budget runs out.
constexpr double HedgeQuantile = 0.75;
constexpr double MinHedgeFactor = 1.25;
constexpr double MaxHedgeFactor = 2.8;
/// From this remaining share of the budget up, the factor is MinHedgeFactor.
constexpr double AmpleBudgetShare = 0.4;
constexpr microseconds MinHedgeDelay{4000};
/// How often a part without an available target looks for one again.
constexpr milliseconds CapacityCheckInterval{10};
/// How often the health of targets with attempts in flight is checked.
constexpr milliseconds OutageCheckInterval{25};

} // namespace

request_plan::request_plan(context NewContext, plan_settings NewSettings)
    : Context(NewContext), Settings(std::move(NewSettings)) {
  for (const std::string &Service : Settings.Services)
    Parts.push_back({Service, {}, {}, {}, false, false, false, {}, {}});
}

auto request_plan::start(const time_point Now) -> plan_actions {
  plan_actions Actions;
  std::size_t DownParts = 0;
  for (const part &Part : Parts)
    DownParts += isServiceDown(Part, Now) ? 1 : 0;
  if (Parts.size() - DownParts < Settings.MinParts ||
      !tryAdmit(DownParts, Now)) {
    finish(plan_verdict::NotRun, Now, Actions);
    return Actions;
  }
  for (const part &Part : Parts)
    Context.Budgets.budget(Part.Service).addRequest(Now);
  skipLateParts(DownParts, Now);
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    if (!Parts[Index].Skipped)
      sendFirst(Index, Now, Actions);
  finishOrScheduleWake(Now, Actions);
  return Actions;
}

auto request_plan::skipLateParts(const std::size_t DownParts,
                                 const time_point Now) -> void {
  std::size_t SkipsLeft = Parts.size() - Settings.MinParts - DownParts;
  if (SkipsLeft == 0 || Now >= Settings.EarlyAt)
    return;
  const auto TimeLeft =
      std::chrono::duration_cast<microseconds>(Settings.EarlyAt - Now);
  std::vector<std::pair<microseconds, part *>> LateParts;
  for (part &Part : Parts) {
    const microseconds Latency = Context.Targets.expectedLatency(
        Part.Service, Context.Latencies.median(), Now);
    const bool IsLate =
        Latency > TimeLeft ||
        std::find(Admission.Unlikely.begin(), Admission.Unlikely.end(),
                  Part.Service) != Admission.Unlikely.end();
    if (IsLate && !isServiceDown(Part, Now))
      LateParts.emplace_back(Latency, &Part);
  }
  std::sort(LateParts.rbegin(), LateParts.rend());
  for (const auto &[Latency, Part] : LateParts) {
    if (SkipsLeft-- == 0)
      return;
    Part->Skipped = true;
  }
}

auto request_plan::sendSkipped(const time_point Now, plan_actions &Actions)
    -> bool {
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (!Parts[Index].Skipped)
      continue;
    Parts[Index].Skipped = false;
    sendFirst(Index, Now, Actions);
    return true;
  }
  return false;
}

auto request_plan::sendFirst(const std::size_t Index, const time_point Now,
                             plan_actions &Actions) -> void {
  part &Part = Parts[Index];
  openPart(Part, Now);
  const auto *Target = Context.Targets.choose(Part.Service, Part.Tried,
                                              Context.Latencies.median(), Now,
                                              refusalCost(Part, Now));
  Part.Waiting = Target == nullptr;
  if (Target)
    send(Index, *Target, Now, Actions);
}

auto request_plan::send(const std::size_t Index,
                        const route::target_entry &Target, const time_point Now,
                        plan_actions &Actions) -> void {
  part &Part = Parts[Index];
  const attempt_key Key{Index, Part.Attempts.size()};
  Part.Attempts.push_back({Target.Id, Now, std::nullopt});
  Part.Tried.push_back(Target.Id);
  Part.HedgeAt = Now + hedgeDelay(Part, Now);
  Context.Targets.recordSent(Target.Id, Now);
  Context.Budgets.budget(Part.Service).addAttempt(Now);
  Actions.push_back(send_attempt{Key, Target});
}

auto request_plan::sendExtra(const std::size_t Index, const bool IsHedge,
                             const time_point Now, plan_actions &Actions)
    -> bool {
  part &Part = Parts[Index];
  if (static_cast<int>(Part.Attempts.size()) >= Settings.MaxAttempts)
    return false;
  const auto *Target = Context.Targets.choose(Part.Service, Part.Tried,
                                              Context.Latencies.median(), Now,
                                              refusalCost(Part, Now));
  if (!Target)
    return false;
  const auto Purpose = IsHedge ? extra_purpose::Hedge : extra_purpose::Retry;
  if (!Context.Budgets.budget(Part.Service).tryAcquire(Purpose, Now))
    return false;
  send(Index, *Target, Now, Actions);
  return true;
}

auto request_plan::refusalCost(const part &Part, const time_point Now) const
    -> double {
  const bool IsLast =
      static_cast<int>(Part.Attempts.size()) + 1 >= Settings.MaxAttempts;
  if (IsLast)
    return LostPartCost;
  const double BudgetLeft = Context.Budgets.budget(Part.Service)
                                .remainingShare(extra_purpose::Retry, Now);
  const double BudgetLevel = std::min(1.0, BudgetLeft / AmpleRetryShare);
  return LostPartCost -
         (LostPartCost - target_health::UsualRefusalCost) * BudgetLevel;
}

auto request_plan::hedgeDelay(const part &Part, const time_point Now) const
    -> microseconds {
  const double BudgetLeft = Context.Budgets.budget(Part.Service)
                                .remainingShare(extra_purpose::Hedge, Now);
  const double BudgetLevel = std::min(1.0, BudgetLeft / AmpleBudgetShare);
  const double Factor =
      MaxHedgeFactor - (MaxHedgeFactor - MinHedgeFactor) * BudgetLevel;
  const auto Delay = std::chrono::duration_cast<microseconds>(
      Context.Latencies.quantile(HedgeQuantile) * Factor);
  return std::max(MinHedgeDelay, Delay);
}

auto request_plan::mayHedge(const part &Part) const -> bool {
  return Settings.Repeatability == route::repeatability::Idempotent &&
         !Part.Answered && !Part.Attempts.empty() &&
         static_cast<int>(Part.Attempts.size()) < Settings.MaxAttempts;
}

auto request_plan::onEnded(const attempt_key Key, const attempt_end End,
                           const time_point Now) -> plan_actions {
  plan_actions Actions;
  if (Finished)
    return Actions;
  part &Part = Parts[Key.Part];
  attempt &Attempt = Part.Attempts[Key.Attempt];
  if (Attempt.End)
    return Actions;
  Attempt.End = End;
  const auto Latency =
      std::chrono::duration_cast<microseconds>(Now - Attempt.SentAt);
  Context.Targets.health(Attempt.Target)
      .onEnded(End, Latency, Context.Latencies.median(), Now);
  if (End == attempt_end::Misdirected)
    Context.Targets.cold().refund(Attempt.Target, Now);
  if (End == attempt_end::Answered) {
    Context.Latencies.record(Latency);
    Part.Answered = true;
    cancelInFlight(Key.Part, Now, Actions);
  } else {
    if (End == attempt_end::Failed)
      Failure = Key;
    Context.Budgets.budget(Part.Service).addRefusal(Now);
    const bool MayRetry =
        Settings.Repeatability == route::repeatability::Idempotent ||
        !mayHaveRun(End);
    if (MayRetry)
      retry(Key.Part, Now, Actions);
  }
  finishOrScheduleWake(Now, Actions);
  return Actions;
}

auto request_plan::onTimer(const time_point Now) -> plan_actions {
  plan_actions Actions;
  if (Finished)
    return Actions;
  const bool HasTime = Now < Settings.Deadline;
  for (std::size_t Index = 0; HasTime && Index < Parts.size(); ++Index) {
    part &Part = Parts[Index];
    if (Part.RetryAt)
      continue;
    if (Part.Waiting)
      sendFirst(Index, Now, Actions);
    else if (mayHedge(Part) && Now >= Part.HedgeAt &&
             !(mayHelp(Part, Now) && sendExtra(Index, true, Now, Actions)))
      Part.HedgeAt = Now + CapacityCheckInterval;
  }
  if (HasTime)
    decideRetries(Now, Actions);
  finishOrScheduleWake(Now, Actions);
  return Actions;
}

auto request_plan::shorten(const milliseconds Span) -> void {
  Settings.EarlyAt -= Span;
  Settings.Deadline -= Span;
}

auto request_plan::abandon(const time_point Now) -> plan_actions {
  plan_actions Actions;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    cancelInFlight(Index, Now, Actions);
  endAdmission(plan_verdict::Answer, Now);
  Finished = true;
  return Actions;
}

auto request_plan::endNow(const time_point Now) -> plan_actions {
  plan_actions Actions;
  if (Finished)
    return Actions;
  if (countParts(Now, false).Answered >= Settings.MinParts)
    finish(plan_verdict::Answer, Now, Actions);
  else
    finish(anyMayHaveRun() ? plan_verdict::TimedOut : plan_verdict::NotRun, Now,
           Actions);
  return Actions;
}

auto request_plan::cancelInFlight(const std::size_t Index, const time_point Now,
                                  plan_actions &Actions) -> void {
  part &Part = Parts[Index];
  closePart(Part, Now);
  for (std::size_t Number = 0; Number < Part.Attempts.size(); ++Number) {
    attempt &Attempt = Part.Attempts[Number];
    if (Attempt.End)
      continue;
    Attempt.End = attempt_end::Abandoned;
    const auto Waited =
        std::chrono::duration_cast<microseconds>(Now - Attempt.SentAt);
    Context.Targets.health(Attempt.Target)
        .onEnded(attempt_end::Abandoned, Waited, Context.Latencies.median(),
                 Now);
    Actions.push_back(cancel_attempt{{Index, Number}});
  }
}

auto request_plan::isServiceDown(const part &Part, const time_point Now) const
    -> bool {
  const microseconds Median = Context.Latencies.median();
  if (!Context.Targets.isServiceDown(Part.Service, Median, Now))
    return false;
  // Worth waiting for a target that wants requests again in time.
  const auto ReopensAt = Context.Targets.reopensAt(Part.Service, Now);
  return !ReopensAt ||
         *ReopensAt + Median > std::min(Settings.EarlyAt, Settings.Deadline);
}

auto request_plan::isUnrecoverable(const part &Part, const time_point Now) const
    -> bool {
  for (const attempt &Attempt : Part.Attempts)
    if (!Attempt.End && !Context.Targets.health(Attempt.Target)
                             .isUnresponsive(Context.Latencies.median(), Now))
      return false;
  return isServiceDown(Part, Now);
}

auto request_plan::countParts(const time_point Now,
                              const bool CheckOutages) const -> part_counts {
  part_counts Counts;
  for (const part &Part : Parts) {
    if (Part.Answered) {
      ++Counts.Answered;
      continue;
    }
    const bool InFlight =
        std::any_of(Part.Attempts.begin(), Part.Attempts.end(),
                    [](const attempt &A) { return !A.End; });
    if (!InFlight && !Part.RetryAt &&
        (!Part.Waiting || isServiceDown(Part, Now)))
      continue;
    ++Counts.Open;
    // A run that may not be repeated is worth waiting for: its target may only
    // be slow.
    const bool MayGiveUp =
        CheckOutages && (!InFlight || Settings.Repeatability ==
                                          route::repeatability::Idempotent);
    Counts.Unrecoverable += MayGiveUp && isUnrecoverable(Part, Now) ? 1 : 0;
  }
  return Counts;
}

auto request_plan::finishOrScheduleWake(const time_point Now,
                                        plan_actions &Actions) -> void {
  if (Finished)
    return;
  // Whether the attempts in flight can still be answered matters only for the
  // last parts, and for parts that have waited long; so it is checked once the
  // minimum is reached, or at intervals.
  part_counts Counts = countParts(Now, false);
  const bool HasMinimum = Counts.Answered >= Settings.MinParts;
  if (HasMinimum || Now >= LastOutageCheck + OutageCheckInterval) {
    LastOutageCheck = Now;
    Counts = countParts(Now, true);
  }
  if (HasMinimum &&
      (Counts.Open == Counts.Unrecoverable || Now >= Settings.EarlyAt))
    return finish(plan_verdict::Answer, Now, Actions);
  if (Counts.Answered + Counts.Open - Counts.Unrecoverable <
      Settings.MinParts) {
    if (sendSkipped(Now, Actions))
      return finishOrScheduleWake(Now, Actions);
    return finishUnanswered(Now, Actions);
  }
  if (Now >= Settings.Deadline)
    return finish(anyMayHaveRun() ? plan_verdict::TimedOut
                                  : plan_verdict::NotRun,
                  Now, Actions);
  scheduleWake(Now);
}

auto request_plan::finishUnanswered(const time_point Now, plan_actions &Actions)
    -> void {
  if (!anyMayHaveRun())
    return finish(plan_verdict::NotRun, Now, Actions);
  if (Failure && Parts.size() == 1)
    return finish(plan_verdict::TargetError, Now, Actions);
  finish(plan_verdict::Unavailable, Now, Actions);
}

auto request_plan::anyMayHaveRun() const -> bool {
  return std::any_of(Parts.begin(), Parts.end(), [](const part &Part) {
    return std::any_of(Part.Attempts.begin(), Part.Attempts.end(),
                       [](const attempt &Attempt) {
                         return !Attempt.End || mayHaveRun(*Attempt.End);
                       });
  });
}

auto request_plan::finish(const plan_verdict Verdict, const time_point Now,
                          plan_actions &Actions) -> void {
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (Parts[Index].RetryAt)
      Context.Budgets.budget(Parts[Index].Service).recordForgoneRetry(Now);
    cancelInFlight(Index, Now, Actions);
  }
  endAdmission(Verdict, Now);
  Finished = true;
  finish_plan Finish{Verdict, Failure.value_or(attempt_key{}), {}};
  if (Verdict != plan_verdict::Answer)
    Finish.RetryAfter = retryDelay(Now);
  Actions.push_back(Finish);
}

auto request_plan::scheduleWake(const time_point Now) -> void {
  Wake = Settings.Deadline;
  if (Now < Settings.EarlyAt)
    Wake = std::min(Wake, Settings.EarlyAt);
  for (const part &Part : Parts) {
    if (Part.RetryAt)
      Wake = std::min(Wake, std::max(*Part.RetryAt, Now));
    else if (Part.Waiting)
      Wake = std::min(Wake, Now + CapacityCheckInterval);
    else if (mayHedge(Part))
      Wake = std::min(Wake, std::max(Part.HedgeAt, Now));
    else if (!Part.Answered && Parts.size() > 1)
      Wake = std::min(Wake, Now + OutageCheckInterval);
  }
}

} // namespace tarragon::placement
