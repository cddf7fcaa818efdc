#include "admission/internal/dispatchercore.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

/// How long a cancelled attempt without a result keeps its slot.
constexpr milliseconds CancelGrace{1000};
constexpr milliseconds MinHedgeRetryDelay{2};
constexpr std::size_t MaxCrashReports = 64;

auto microsecondsOf(const time_point::duration Duration) -> microseconds {
  return std::chrono::duration_cast<microseconds>(Duration);
}

} // namespace

auto dispatcher_core::onAttemptDone(const attempt_result &Result,
                                    const time_point Now) -> void {
  const attempt_number Number = attemptNumber(Result.Attempt);
  const auto Found = Attempts.find(Number);
  if (Found == Attempts.end())
    return;
  const attempt_state Attempt = Found->second;
  releaseSlot(Number, Attempt);
  const auto RequestEntry = Requests.find(Attempt.Request);
  const bool Settled = RequestEntry == Requests.end();
  recordOutcome(Attempt, Settled ? nullptr : &RequestEntry->second, Result,
                Now);
  recordCrash(Attempt, Result.Outcome, Now);
  if (!Settled)
    applyResult(RequestEntry->second, Attempt, Result, Now);
}

auto dispatcher_core::releaseSlot(const attempt_number Number,
                                  const attempt_state &Attempt) -> void {
  if (Attempt.Cancelled)
    SlotReleaseTimers.erase({Attempt.SlotReleaseAt, Number});
  Pool.onEnd(Attempt.Target, Attempt.Suspect);
  SuspectsInFlight -= Attempt.Suspect ? 1 : 0;
  const auto RequestEntry = Requests.find(Attempt.Request);
  if (RequestEntry != Requests.end())
    std::erase(RequestEntry->second.InFlight, Number);
  Attempts.erase(Number);
}

auto dispatcher_core::recordOutcome(const attempt_state &Attempt,
                                    const request_state *Request,
                                    const attempt_result &Result,
                                    const time_point Now) -> void {
  const bool Informative =
      !Attempt.Cancelled || Result.Outcome != attempt_outcome::Expired;
  if (Informative)
    Pool.onResult(Attempt, Result.Outcome, Now);
  if (Request == nullptr)
    return;
  Pool.recordHeldVersions(Attempt.Target, Result.Held, Request->Request,
                          Result.Outcome, Now);
  if (Result.Outcome == attempt_outcome::Answered &&
      !Pool.isSlow(Attempt.Target))
    Request->Stats->record(microsecondsOf(Now - Attempt.StartedAt));
}

auto dispatcher_core::applyResult(request_state &Request,
                                  const attempt_state &Attempt,
                                  const attempt_result &Result,
                                  const time_point Now) -> void {
  settlement &Settlement = Request.Settlement;
  const attempt_outcome Outcome = Result.Outcome;
  Settlement.Target = Pool.targetAt(Attempt.Target).Id;
  Settlement.Held = Result.Held;
  if (!provesNotRun(Outcome))
    Settlement.ProvenNotRun = false;
  if (Settlement.CrashedTargets.empty() &&
      (!provesNotRun(Outcome) || Settlement.ProvenNotRun))
    Settlement.Outcome = Outcome;
  if (Outcome == attempt_outcome::Crashed)
    Settlement.CrashedTargets.push_back(Settlement.Target);
  if (Outcome == attempt_outcome::Answered) {
    Settlement.Outcome = Outcome;
    Settlement.Version = Result.Version;
    Settlement.Shard = Result.Shard;
    Settlement.ShardCount = Result.ShardCount;
    Settlement.Items = Result.Items;
    settle(Request, Now);
    return;
  }
  if (Outcome != attempt_outcome::Shed) {
    const auto Insertion = std::lower_bound(
        Request.Tried.begin(), Request.Tried.end(), Attempt.Target);
    if (Insertion == Request.Tried.end() || *Insertion != Attempt.Target)
      Request.Tried.insert(Insertion, Attempt.Target);
  }
  if (!Request.InFlight.empty())
    return;
  if (mayRetry(Request, Outcome, Now))
    enqueue(Request, Now);
  else
    settle(Request, Now);
}

auto dispatcher_core::mayRetry(request_state &Request,
                               const attempt_outcome Outcome,
                               const time_point Now) -> bool {
  const subrequest &Submitted = Request.Request;
  if (!Request.Settlement.CrashedTargets.empty() || Now >= Submitted.Deadline ||
      Outcome == attempt_outcome::Refused)
    return false;
  if (!Request.Settlement.ProvenNotRun &&
      (!Submitted.Repeatable || Submitted.Suspect))
    return false;
  if (!Pool.canServe(Request, Now))
    return false;
  // Retries of attempts proven not run need no token: after such refusals the
  // replica pool paces the attempts, so they cannot accumulate.
  return Budget.tryWithdraw() || Request.Settlement.ProvenNotRun;
}

auto dispatcher_core::recordCrash(const attempt_state &Attempt,
                                  const attempt_outcome Outcome,
                                  const time_point Now) -> void {
  if (Outcome == attempt_outcome::Answered)
    RecentCrashes.clear(Attempt.Fingerprint);
  if (Outcome != attempt_outcome::Crashed)
    return;
  const crash_attribution Attribution = Pool.crashAttribution(Attempt.Target);
  if (Attribution == crash_attribution::Suspect && !Attempt.Suspect)
    return;
  const bool Isolated = Attribution != crash_attribution::All;
  if (Isolated)
    RecentCrashes.recordCulprit(Attempt.Fingerprint, Now);
  else
    RecentCrashes.record(Attempt.Fingerprint, Now);
  if (Crashes.size() < MaxCrashReports)
    Crashes.push_back(
        {Attempt.Fingerprint, Pool.targetAt(Attempt.Target).Id, Isolated});
}

auto dispatcher_core::runTimers(const time_point Now) -> void {
  while (!RequestTimers.empty() && RequestTimers.begin()->first <= Now)
    onRequestTimer(Requests.at(RequestTimers.begin()->second), Now);
  while (!SlotReleaseTimers.empty() &&
         SlotReleaseTimers.begin()->first <= Now) {
    const attempt_number Number = SlotReleaseTimers.begin()->second;
    const attempt_state Attempt = Attempts.at(Number);
    releaseSlot(Number, Attempt);
  }
}

auto dispatcher_core::onRequestTimer(request_state &Request,
                                     const time_point Now) -> void {
  if (Request.Queued)
    abandon(Request, Now);
  else if (Now >= Request.Request.Deadline)
    expire(Request, Now);
  else
    onLate(Request, Now);
}

/// Handles an attempt that exceeds the late threshold: records it once and
/// starts a hedge if allowed.
auto dispatcher_core::onLate(request_state &Request, const time_point Now)
    -> void {
  const subrequest &Submitted = Request.Request;
  attempt_state &Attempt = Attempts.at(Request.InFlight.front());
  if (!Attempt.Late)
    Pool.onLate(Attempt.Target, microsecondsOf(Now - Attempt.StartedAt), Now);
  Attempt.Late = true;
  const bool Eligible = mayHedge(Request) && !Request.Hedged &&
                        Request.Settlement.CrashedTargets.empty();
  if (!Eligible || hedge(Request, Attempt.Target, Now)) {
    setWake(Request, Submitted.Deadline);
    return;
  }
  const microseconds HedgeRetryDelay = std::max<microseconds>(
      MinHedgeRetryDelay, microsecondsOf(Now - Attempt.StartedAt) / 4);
  setWake(Request, std::min(Submitted.Deadline, Now + HedgeRetryDelay));
}

auto dispatcher_core::hedge(request_state &Request, const std::size_t Current,
                            const time_point Now) -> bool {
  if (Queue.size() > 0 ||
      RecentCrashes.contains(Request.Request.Fingerprint, Now))
    return false;
  const auto Target = Pool.chooseHedge(Request, Current, Now);
  if (!Target || !Budget.tryWithdraw())
    return false;
  Request.Hedged = true;
  start(Request, *Target, Now);
  return true;
}

auto dispatcher_core::expire(request_state &Request, const time_point Now)
    -> void {
  if (!Request.InFlight.empty() && Request.Settlement.CrashedTargets.empty())
    Request.Settlement.Outcome = attempt_outcome::Expired;
  if (Now >= Request.Request.Deadline)
    for (const attempt_number Number : Request.InFlight)
      Pool.onResult(Attempts.at(Number), attempt_outcome::Expired, Now);
  settle(Request, Now);
}

/// Settles a request that has no attempt in flight.
auto dispatcher_core::abandon(request_state &Request, const time_point Now)
    -> void {
  if (Request.Settlement.Attempts == 0 && !Pool.canServe(Request, Now)) {
    const auto [Outcome, Position] = Pool.refusalFor(Request, Now);
    Request.Settlement.Outcome = Outcome;
    if (Position)
      Request.Settlement.Target = Pool.targetAt(*Position).Id;
    if (Outcome == attempt_outcome::WrongVersion && Position)
      Request.Settlement.Held = Pool.heldVersions(*Position);
  }
  settle(Request, Now);
}

auto dispatcher_core::abandonUnservable(const time_point Now) -> void {
  for (const request_number Number : Queue.requestNumbers()) {
    request_state &Request = Requests.at(Number);
    if (!Pool.canServe(Request, Now))
      abandon(Request, Now);
  }
}

auto dispatcher_core::settle(request_state &Request, const time_point Now)
    -> void {
  Queue.remove(Request);
  if (!Request.InFlight.empty()) {
    cancelAttempts(Request, Now);
    Request.Settlement.ProvenNotRun = false;
  }
  RequestTimers.erase({Request.Wake, Request.Number});
  const request_number Number = Request.Number;
  NumberByKey.erase({Request.Request.Coordinator, Request.Request.Id});
  Actions.emplace_back(settle_subrequest{std::move(Request.Request.Coordinator),
                                         std::move(Request.Settlement)});
  Requests.erase(Number);
}

auto dispatcher_core::cancelAttempts(const request_state &Request,
                                     const time_point Now) -> void {
  const bool Answered = Request.Settlement.Outcome == attempt_outcome::Answered;
  for (const attempt_number Number : Request.InFlight) {
    attempt_state &Attempt = Attempts.at(Number);
    Attempt.Cancelled = true;
    Attempt.SlotReleaseAt = Now + CancelGrace;
    SlotReleaseTimers.emplace(Attempt.SlotReleaseAt, Number);
    if (Answered && Attempt.Late && !Pool.isSlow(Attempt.Target))
      Request.Stats->record(microsecondsOf(Now - Attempt.StartedAt));
    Actions.emplace_back(
        cancel_attempt{attemptId(Number), Pool.targetAt(Attempt.Target)});
  }
}

} // namespace tarragon::admission::internal
