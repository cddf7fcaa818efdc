#include "admission/internal/dispatchercore.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

/// How long a cancelled attempt without a result keeps its slot.
constexpr milliseconds CancelGrace{1000};
constexpr milliseconds LeastHedgeDelay{2};
constexpr std::size_t MostCrashes = 64;

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
  const auto Waiting = Requests.find(Attempt.Request);
  const bool Settled = Waiting == Requests.end();
  learn(Attempt, Settled ? nullptr : &Waiting->second, Result, Now);
  noteCrash(Attempt, Result.Outcome, Now);
  if (!Settled)
    takeResult(Waiting->second, Attempt, Result, Now);
}

auto dispatcher_core::releaseSlot(const attempt_number Number,
                                  const attempt_state &Attempt) -> void {
  if (Attempt.Cancelled)
    GiveUpTimers.erase({Attempt.GiveUpAt, Number});
  Pool.onEnd(Attempt.Target, Attempt.Suspect);
  SuspectsInFlight -= Attempt.Suspect ? 1 : 0;
  const auto Waiting = Requests.find(Attempt.Request);
  if (Waiting != Requests.end())
    std::erase(Waiting->second.InFlight, Number);
  Attempts.erase(Number);
}

auto dispatcher_core::learn(const attempt_state &Attempt,
                            const request_state *Request,
                            const attempt_result &Result, const time_point Now)
    -> void {
  const bool Told =
      !Attempt.Cancelled || Result.Outcome != attempt_outcome::Expired;
  if (Told)
    Pool.onResult(Attempt, Result.Outcome, Now);
  if (Request == nullptr)
    return;
  Pool.learnHeld(Attempt.Target, Result.Held, Request->Request, Result.Outcome,
                 Now);
  if (Result.Outcome == attempt_outcome::Answered && !Pool.slow(Attempt.Target))
    Request->Stats->record(microsecondsOf(Now - Attempt.StartedAt));
}

auto dispatcher_core::takeResult(request_state &Request,
                                 const attempt_state &Attempt,
                                 const attempt_result &Result,
                                 const time_point Now) -> void {
  settlement &End = Request.End;
  const attempt_outcome Outcome = Result.Outcome;
  End.Target = Pool.targetAt(Attempt.Target).Id;
  End.Held = Result.Held;
  if (!provesNotRun(Outcome))
    End.ProvenNotRun = false;
  if (End.CrashedTargets.empty() &&
      (!provesNotRun(Outcome) || End.ProvenNotRun))
    End.Outcome = Outcome;
  if (Outcome == attempt_outcome::Crashed)
    End.CrashedTargets.push_back(End.Target);
  if (Outcome == attempt_outcome::Answered) {
    End.Outcome = Outcome;
    End.Version = Result.Version;
    End.Shard = Result.Shard;
    End.ShardCount = Result.ShardCount;
    End.Items = Result.Items;
    settle(Request, Now);
    return;
  }
  if (Outcome != attempt_outcome::Shed) {
    const auto Place = std::lower_bound(Request.Tried.begin(),
                                        Request.Tried.end(), Attempt.Target);
    if (Place == Request.Tried.end() || *Place != Attempt.Target)
      Request.Tried.insert(Place, Attempt.Target);
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
  const subrequest &Sent = Request.Request;
  if (!Request.End.CrashedTargets.empty() || Now >= Sent.Deadline ||
      Outcome == attempt_outcome::Refused)
    return false;
  if (!Request.End.ProvenNotRun && (!Sent.Repeatable || Sent.Suspect))
    return false;
  if (!Pool.anyFor(Request, Now))
    return false;
  // Retries of what ran nowhere can't add up: the target pool paces attempts
  // after such refusals.
  return Budget.take() || Request.End.ProvenNotRun;
}

auto dispatcher_core::noteCrash(const attempt_state &Attempt,
                                const attempt_outcome Outcome,
                                const time_point Now) -> void {
  if (Outcome == attempt_outcome::Answered)
    CrashedLately.clear(Attempt.Fingerprint);
  if (Outcome != attempt_outcome::Crashed)
    return;
  const crash_blame Blame = Pool.blame(Attempt.Target);
  if (Blame == crash_blame::Suspect && !Attempt.Suspect)
    return;
  const bool Apart = Blame != crash_blame::All;
  if (Apart)
    CrashedLately.recordCulprit(Attempt.Fingerprint, Now);
  else
    CrashedLately.record(Attempt.Fingerprint, Now);
  if (Crashes.size() < MostCrashes)
    Crashes.push_back(
        {Attempt.Fingerprint, Pool.targetAt(Attempt.Target).Id, Apart});
}

auto dispatcher_core::runTimers(const time_point Now) -> void {
  while (!RequestTimers.empty() && RequestTimers.begin()->first <= Now)
    onRequestTimer(Requests.at(RequestTimers.begin()->second), Now);
  while (!GiveUpTimers.empty() && GiveUpTimers.begin()->first <= Now) {
    const attempt_number Number = GiveUpTimers.begin()->second;
    const attempt_state Attempt = Attempts.at(Number);
    releaseSlot(Number, Attempt);
  }
}

auto dispatcher_core::onRequestTimer(request_state &Request,
                                     const time_point Now) -> void {
  if (Request.Queued)
    giveUp(Request, Now);
  else if (Now >= Request.Request.Deadline)
    expire(Request, Now);
  else
    onLate(Request, Now);
}

/// The attempt in flight takes long: notes it once and hedges if it may.
auto dispatcher_core::onLate(request_state &Request, const time_point Now)
    -> void {
  const subrequest &Sent = Request.Request;
  attempt_state &Attempt = Attempts.at(Request.InFlight.front());
  if (!Attempt.Late)
    Pool.onLate(Attempt.Target, microsecondsOf(Now - Attempt.StartedAt), Now);
  Attempt.Late = true;
  const bool Eligible = mayHedge(Request) && !Request.Hedged &&
                        Request.End.CrashedTargets.empty();
  if (!Eligible || hedge(Request, Attempt.Target, Now)) {
    setWake(Request, Sent.Deadline);
    return;
  }
  const microseconds Again = std::max<microseconds>(
      LeastHedgeDelay, microsecondsOf(Now - Attempt.StartedAt) / 4);
  setWake(Request, std::min(Sent.Deadline, Now + Again));
}

auto dispatcher_core::hedge(request_state &Request, const std::size_t Present,
                            const time_point Now) -> bool {
  if (Queue.size() > 0 || CrashedLately.has(Request.Request.Fingerprint, Now))
    return false;
  const auto Target = Pool.chooseHedge(Request, Present, Now);
  if (!Target || !Budget.take())
    return false;
  Request.Hedged = true;
  start(Request, *Target, Now);
  return true;
}

auto dispatcher_core::expire(request_state &Request, const time_point Now)
    -> void {
  if (!Request.InFlight.empty() && Request.End.CrashedTargets.empty())
    Request.End.Outcome = attempt_outcome::Expired;
  if (Now >= Request.Request.Deadline)
    for (const attempt_number Number : Request.InFlight)
      Pool.onResult(Attempts.at(Number), attempt_outcome::Expired, Now);
  settle(Request, Now);
}

/// Settles a request that is not in flight.
auto dispatcher_core::giveUp(request_state &Request, const time_point Now)
    -> void {
  if (Request.End.Attempts == 0 && !Pool.anyFor(Request, Now)) {
    const auto [Outcome, Position] = Pool.refusalOf(Request, Now);
    Request.End.Outcome = Outcome;
    if (Position)
      Request.End.Target = Pool.targetAt(*Position).Id;
    if (Outcome == attempt_outcome::WrongVersion && Position)
      Request.End.Held = Pool.heldBy(*Position);
  }
  settle(Request, Now);
}

auto dispatcher_core::giveUpUnservable(const time_point Now) -> void {
  for (const request_number Number : Queue.numbers()) {
    request_state &Request = Requests.at(Number);
    if (!Pool.anyFor(Request, Now))
      giveUp(Request, Now);
  }
}

auto dispatcher_core::settle(request_state &Request, const time_point Now)
    -> void {
  Queue.remove(Request);
  if (!Request.InFlight.empty()) {
    cancelAttempts(Request, Now);
    Request.End.ProvenNotRun = false;
  }
  RequestTimers.erase({Request.Wake, Request.Number});
  const request_number Number = Request.Number;
  Known.erase({Request.Request.Root, Request.Request.Id});
  Actions.emplace_back(settle_subrequest{std::move(Request.Request.Root),
                                         std::move(Request.End)});
  Requests.erase(Number);
}

auto dispatcher_core::cancelAttempts(const request_state &Request,
                                     const time_point Now) -> void {
  const bool Answered = Request.End.Outcome == attempt_outcome::Answered;
  for (const attempt_number Number : Request.InFlight) {
    attempt_state &Attempt = Attempts.at(Number);
    Attempt.Cancelled = true;
    Attempt.GiveUpAt = Now + CancelGrace;
    GiveUpTimers.emplace(Attempt.GiveUpAt, Number);
    if (Answered && Attempt.Late && !Pool.slow(Attempt.Target))
      Request.Stats->record(microsecondsOf(Now - Attempt.StartedAt));
    Actions.emplace_back(
        cancel_attempt{attemptId(Number), Pool.targetAt(Attempt.Target)});
  }
}

} // namespace tarragon::admission::internal
