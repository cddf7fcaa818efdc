#include "placement/requestplan.h"

#include "placement/latencymodel.h"
#include "placement/retrybudgettable.h"
#include "placement/targetset.h"

#include <algorithm>

namespace tarragon::placement {

namespace {

/// A part is late beyond so many times the latency of the faster three
/// quarters, and later still when the budget is nearly spent.
constexpr double FasterShare = 0.75;
constexpr double EagerHedge = 1.25;
constexpr double ReluctantHedge = 2.8;
/// While so much of the budget is left, it is not spared.
constexpr double AmpleBudget = 0.4;
constexpr microseconds ShortestHedge{4000};
constexpr milliseconds LookAgain{10};   ///< for a target with room
constexpr milliseconds LookForLoss{25}; ///< of the targets asked

} // namespace

request_plan::request_plan(context NewContext, plan_settings NewSettings)
    : Context(NewContext), Settings(std::move(NewSettings)) {
  for (const std::string &Service : Settings.Services)
    Parts.push_back({Service, {}, {}, {}, false, false, false});
}

auto request_plan::start(const time_point Now) -> plan_actions {
  plan_actions Actions;
  std::size_t Lost = 0;
  for (const part &Part : Parts) {
    Context.Budgets.of(Part.Service).addRequest(Now);
    Lost += lost(Part, Now) ? 1 : 0;
  }
  if (Parts.size() - Lost < Settings.LeastParts) {
    finish(plan_verdict::NotRun, Now, Actions);
    return Actions;
  }
  leaveOutLate(Lost, Now);
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    if (!Parts[Index].LeftOut)
      sendFirst(Index, Now, Actions);
  settle(Now, Actions);
  return Actions;
}

auto request_plan::leaveOutLate(const std::size_t Lost, const time_point Now)
    -> void {
  std::size_t MayLack = Parts.size() - Settings.LeastParts - Lost;
  if (MayLack == 0 || Now >= Settings.EarlyAt)
    return;
  const auto InTime =
      std::chrono::duration_cast<microseconds>(Settings.EarlyAt - Now);
  std::vector<std::pair<microseconds, part *>> Late;
  for (part &Part : Parts) {
    const microseconds Wait = Context.Targets.expectedWait(
        Part.Service, Context.Latencies.typical(), Now);
    if (Wait > InTime && !lost(Part, Now))
      Late.emplace_back(Wait, &Part);
  }
  std::sort(Late.rbegin(), Late.rend());
  for (const auto &[Wait, Part] : Late) {
    if (MayLack-- == 0)
      return;
    Part->LeftOut = true;
  }
}

auto request_plan::askLeftOut(const time_point Now, plan_actions &Actions)
    -> bool {
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (!Parts[Index].LeftOut)
      continue;
    Parts[Index].LeftOut = false;
    sendFirst(Index, Now, Actions);
    return true;
  }
  return false;
}

auto request_plan::sendFirst(const std::size_t Index, const time_point Now,
                             plan_actions &Actions) -> void {
  part &Part = Parts[Index];
  const auto *Target = Context.Targets.choose(Part.Service, Part.Tried,
                                              Context.Latencies.typical(), Now);
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
  Context.Targets.state(Target.Id).onSent(Now);
  Actions.push_back(send_attempt{Key, Target});
}

auto request_plan::sendAgain(const std::size_t Index, const bool IsHedge,
                             const time_point Now, plan_actions &Actions)
    -> bool {
  part &Part = Parts[Index];
  if (static_cast<int>(Part.Attempts.size()) >= Settings.Attempts)
    return false;
  const auto *Target = Context.Targets.choose(Part.Service, Part.Tried,
                                              Context.Latencies.typical(), Now);
  if (!Target)
    return false;
  const auto Purpose = IsHedge ? extra_purpose::Hedge : extra_purpose::Retry;
  if (!Context.Budgets.of(Part.Service).take(Purpose, Now))
    return false;
  send(Index, *Target, Now, Actions);
  return true;
}

auto request_plan::hedgeDelay(const part &Part, const time_point Now) const
    -> microseconds {
  const double Left =
      Context.Budgets.of(Part.Service).left(extra_purpose::Hedge, Now);
  const double Ample = std::min(1.0, Left / AmpleBudget);
  const double Times = ReluctantHedge - (ReluctantHedge - EagerHedge) * Ample;
  const auto Late = std::chrono::duration_cast<microseconds>(
      Context.Latencies.quantile(FasterShare) * Times);
  return std::max(ShortestHedge, Late);
}

auto request_plan::mayHedge(const part &Part) const -> bool {
  return Settings.Repeat == route::repeatability::Idempotent &&
         !Part.Answered && !Part.Attempts.empty() &&
         static_cast<int>(Part.Attempts.size()) < Settings.Attempts;
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
  Context.Targets.state(Attempt.Target)
      .onEnded(End, Latency, Context.Latencies.typical(), Now);
  if (End == attempt_end::Answered) {
    Context.Latencies.record(Latency);
    Part.Answered = true;
    cancelOut(Key.Part, Now, Actions);
  } else {
    if (End == attempt_end::Failed)
      Failure = Key;
    const bool MayAsk =
        Settings.Repeat == route::repeatability::Idempotent || !mayHaveRun(End);
    if (MayAsk)
      sendAgain(Key.Part, false, Now, Actions);
  }
  settle(Now, Actions);
  return Actions;
}

auto request_plan::onTimer(const time_point Now) -> plan_actions {
  plan_actions Actions;
  if (Finished)
    return Actions;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    part &Part = Parts[Index];
    if (Part.Waiting)
      sendFirst(Index, Now, Actions);
    else if (mayHedge(Part) && Now >= Part.HedgeAt &&
             !sendAgain(Index, true, Now, Actions))
      Part.HedgeAt = Now + LookAgain;
  }
  settle(Now, Actions);
  return Actions;
}

auto request_plan::abandon(const time_point Now) -> plan_actions {
  plan_actions Actions;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    cancelOut(Index, Now, Actions);
  Finished = true;
  return Actions;
}

auto request_plan::cancelOut(const std::size_t Index, const time_point Now,
                             plan_actions &Actions) -> void {
  part &Part = Parts[Index];
  for (std::size_t Number = 0; Number < Part.Attempts.size(); ++Number) {
    attempt &Attempt = Part.Attempts[Number];
    if (Attempt.End)
      continue;
    Attempt.End = attempt_end::Abandoned;
    const auto Waited =
        std::chrono::duration_cast<microseconds>(Now - Attempt.SentAt);
    Context.Targets.state(Attempt.Target)
        .onEnded(attempt_end::Abandoned, Waited, Context.Latencies.typical(),
                 Now);
    Actions.push_back(cancel_attempt{{Index, Number}});
  }
}

auto request_plan::lost(const part &Part, const time_point Now) const -> bool {
  return Context.Targets.lost(Part.Service, Context.Latencies.typical(), Now);
}

auto request_plan::isDoomed(const part &Part, const time_point Now) const
    -> bool {
  for (const attempt &Attempt : Part.Attempts)
    if (!Attempt.End && !Context.Targets.state(Attempt.Target)
                             .hopeless(Context.Latencies.typical(), Now))
      return false;
  return lost(Part, Now);
}

auto request_plan::count(const time_point Now, const bool LookForLoss) const
    -> tally {
  tally Tally;
  for (const part &Part : Parts) {
    if (Part.Answered) {
      ++Tally.Answered;
      continue;
    }
    const bool Out = std::any_of(Part.Attempts.begin(), Part.Attempts.end(),
                                 [](const attempt &A) { return !A.End; });
    if (!Out && (!Part.Waiting || lost(Part, Now)))
      continue;
    ++Tally.Open;
    Tally.Doomed += LookForLoss && isDoomed(Part, Now) ? 1 : 0;
  }
  return Tally;
}

auto request_plan::settle(const time_point Now, plan_actions &Actions) -> void {
  if (Finished)
    return;
  // Whether what is out has lost hope matters to the last parts only, and to
  // those that wait for long.
  tally Tally = count(Now, false);
  const bool Enough = Tally.Answered >= Settings.LeastParts;
  if (Enough || Now >= LossLookedAt + LookForLoss) {
    LossLookedAt = Now;
    Tally = count(Now, true);
  }
  if (Enough && (Tally.Open == Tally.Doomed || Now >= Settings.EarlyAt))
    return finish(plan_verdict::Answer, Now, Actions);
  if (Tally.Answered + Tally.Open - Tally.Doomed < Settings.LeastParts) {
    if (askLeftOut(Now, Actions))
      return settle(Now, Actions);
    return giveUp(Now, Actions);
  }
  if (Now >= Settings.Deadline)
    return finish(anyMayHaveRun() ? plan_verdict::TimedOut
                                  : plan_verdict::NotRun,
                  Now, Actions);
  planWake(Now);
}

auto request_plan::giveUp(const time_point Now, plan_actions &Actions) -> void {
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
  for (std::size_t Index = 0; Index < Parts.size(); ++Index)
    cancelOut(Index, Now, Actions);
  Finished = true;
  finish_plan Finish{Verdict, Failure.value_or(attempt_key{}), {}};
  if (Verdict != plan_verdict::Answer)
    Finish.RetryAfter = roomIn(Now);
  Actions.push_back(Finish);
}

auto request_plan::roomIn(const time_point Now) const -> milliseconds {
  milliseconds Longest{0};
  for (const part &Part : Parts)
    if (!Part.Answered)
      Longest =
          std::max(Longest, Context.Targets.nextChance(Part.Service, Now));
  return Longest;
}

auto request_plan::planWake(const time_point Now) -> void {
  Wake = Settings.Deadline;
  if (Now < Settings.EarlyAt)
    Wake = std::min(Wake, Settings.EarlyAt);
  for (const part &Part : Parts) {
    if (Part.Waiting)
      Wake = std::min(Wake, Now + LookAgain);
    else if (mayHedge(Part))
      Wake = std::min(Wake, std::max(Part.HedgeAt, Now));
    else if (!Part.Answered && Parts.size() > 1)
      Wake = std::min(Wake, Now + LookForLoss);
  }
}

auto request_plan::isWhole() const -> bool {
  return std::all_of(Parts.begin(), Parts.end(),
                     [](const part &Part) { return Part.Answered; });
}

auto request_plan::extraAttempts() const -> std::size_t {
  std::size_t Extra = 0;
  for (const part &Part : Parts)
    Extra += Part.Attempts.empty() ? 0 : Part.Attempts.size() - 1;
  return Extra;
}

} // namespace tarragon::placement
