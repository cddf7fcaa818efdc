#include "admission/internal/dispatchercore.h"

#include "global/hash.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

/// How long a cancelled attempt without a result keeps its slot.
constexpr milliseconds CancelGrace{1000};

/// The upper half keeps dispatchers of one instance apart.
auto firstCounter(const group_id &Group, const std::uint64_t Seed)
    -> std::uint64_t {
  return (hash64(Group, Seed) >> 33) << 32;
}

/// Whether \p Outcome says more about the request than \p Present does.
auto outweighs(const attempt_outcome Outcome, const attempt_outcome Present)
    -> bool {
  return !provesNotRun(Outcome) || provesNotRun(Present);
}

} // namespace

dispatcher_core::dispatcher_core(const service &Service,
                                 const replica_group &Group,
                                 dispatcher_settings NewSettings,
                                 const dispatcher_role Role)
    : Settings(std::move(NewSettings)),
      Pool(Service.Limits, Group, Settings.MostInstances, Role),
      AttemptCounter(firstCounter(Group.Id, Settings.Seed)) {}

auto dispatcher_core::submit(subrequest NewRequest, const time_point Now)
    -> void {
  auto Key = std::make_pair(NewRequest.Root, NewRequest.Id);
  const auto [Entry, New] = Known.emplace(std::move(Key), LastRequest + 1);
  if (!New)
    return;
  request_state &Request = Requests[++LastRequest];
  Request.Number = LastRequest;
  Request.SubmittedAt = Now;
  Request.Request = std::move(NewRequest);
  Request.End.Id = Request.Request.Id;
  Request.End.ProvenNotRun = true;
  Request.Wake = Request.Request.Deadline;
  RequestTimers.emplace(Request.Wake, Request.Number);
  if (!Pool.anyFor(Request)) {
    settle(Request, Now);
    return;
  }
  Queue.push(Request);
}

auto dispatcher_core::onAttemptDone(const attempt_result &Result,
                                    const time_point Now) -> void {
  const auto Found = Attempts.find(Result.Attempt);
  if (Found == Attempts.end())
    return;
  const attempt_state Attempt = Found->second;
  Attempts.erase(Found);
  if (Attempt.Cancelled)
    AttemptTimers.erase({Attempt.GiveUpAt, Result.Attempt});
  Pool.onEnd(Attempt.Target);
  if (Result.Outcome == attempt_outcome::Leaving)
    Pool.at(Attempt.Target).Leaving = true;
  const auto Owner = Requests.find(Attempt.Request);
  if (Owner == Requests.end())
    return;
  request_state &Request = Owner->second;
  --Request.InFlight;
  Pool.learnHeld(Attempt.Target, Result.Held, Request.Request, Result.Outcome);
  settlement &End = Request.End;
  End.Target = Pool.at(Attempt.Target).Target.Id;
  End.Held = Result.Held;
  if (outweighs(Result.Outcome, End.Outcome))
    End.Outcome = Result.Outcome;
  if (!provesNotRun(Result.Outcome))
    End.ProvenNotRun = false;
  if (Result.Outcome == attempt_outcome::Crashed)
    End.CrashedTargets.push_back(End.Target);
  if (Result.Outcome == attempt_outcome::Answered) {
    End.Version = Result.Version;
    End.Shard = Result.Shard;
    End.ShardCount = Result.ShardCount;
    End.Items = Result.Items;
    settle(Request, Now);
    return;
  }
  if (provesNotRun(Result.Outcome) && Pool.anyFor(Request)) {
    Queue.push(Request);
    return;
  }
  if (Request.InFlight == 0)
    settle(Request, Now);
}

auto dispatcher_core::cancel(const subrequest_id &Id, const instance_id &Root,
                             const time_point Now) -> void {
  const auto Found = Known.find({Root, Id});
  if (Found == Known.end())
    return;
  request_state &Request = Requests.at(Found->second);
  if (Request.InFlight > 0)
    Request.End.Outcome = attempt_outcome::Expired;
  settle(Request, Now);
}

auto dispatcher_core::onTargetSign(const target_id &Target,
                                   const target_sign Sign, const time_point Now)
    -> void {
  Pool.onSign(Target, Sign);
  settleUnservable(Now);
}

auto dispatcher_core::setRole(const dispatcher_role Role) -> void {
  Pool.setRole(Role);
}

auto dispatcher_core::reconfigure(const service &Service,
                                  const replica_group &Group,
                                  const int MostInstances, const time_point Now)
    -> void {
  Pool.reconfigure(Service.Limits, Group, MostInstances);
  settleUnservable(Now);
}

auto dispatcher_core::takeActions(const time_point Now) -> dispatch_actions {
  runTimers(Now);
  fillSlots(Now);
  return std::exchange(Actions, {});
}

auto dispatcher_core::nextWake() const -> std::optional<time_point> {
  std::optional<time_point> Wake;
  if (!RequestTimers.empty())
    Wake = RequestTimers.begin()->first;
  if (!AttemptTimers.empty() && (!Wake || AttemptTimers.begin()->first < *Wake))
    Wake = AttemptTimers.begin()->first;
  return Wake;
}

auto dispatcher_core::idle() const -> bool {
  return Requests.empty() && Attempts.empty();
}

auto dispatcher_core::nextAttemptId() -> attempt_id {
  return Settings.Instance + "." + std::to_string(Settings.Incarnation) + "." +
         std::to_string(++AttemptCounter);
}

auto dispatcher_core::start(request_state &Request, const std::size_t Target,
                            const time_point Now) -> void {
  Queue.remove(Request);
  attempt_id Id = nextAttemptId();
  Attempts[Id] = {.Request = Request.Number,
                  .Target = Target,
                  .StartedAt = Now,
                  .Suspect = Request.Request.Suspect};
  Pool.onStart(Target);
  Request.Tried.push_back(Target);
  ++Request.InFlight;
  ++Request.End.Attempts;
  Actions.emplace_back(
      start_attempt{std::move(Id), Pool.at(Target).Target, Request.Request});
}

auto dispatcher_core::settle(request_state &Request, const time_point Now)
    -> void {
  Queue.remove(Request);
  if (Request.InFlight > 0) {
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
  for (auto &[Id, Attempt] : Attempts) {
    if (Attempt.Request != Request.Number || Attempt.Cancelled)
      continue;
    Attempt.Cancelled = true;
    Attempt.GiveUpAt = Now + CancelGrace;
    AttemptTimers.emplace(Attempt.GiveUpAt, Id);
    Actions.emplace_back(cancel_attempt{Id, Pool.at(Attempt.Target).Target});
  }
}

auto dispatcher_core::expire(request_state &Request, const time_point Now)
    -> void {
  if (Request.InFlight > 0 &&
      outweighs(attempt_outcome::Expired, Request.End.Outcome) &&
      Request.End.CrashedTargets.empty())
    Request.End.Outcome = attempt_outcome::Expired;
  settle(Request, Now);
}

auto dispatcher_core::runTimers(const time_point Now) -> void {
  while (!RequestTimers.empty() && RequestTimers.begin()->first <= Now)
    expire(Requests.at(RequestTimers.begin()->second), Now);
  while (!AttemptTimers.empty() && AttemptTimers.begin()->first <= Now) {
    const attempt_id Id = AttemptTimers.begin()->second;
    AttemptTimers.erase(AttemptTimers.begin());
    Pool.onEnd(Attempts.at(Id).Target);
    Attempts.erase(Id);
  }
}

auto dispatcher_core::fillSlots(const time_point Now) -> void {
  std::vector<request_number> Waiting;
  for (const auto &[Deadline, Number] : Queue)
    Waiting.push_back(Number);
  for (const request_number Number : Waiting) {
    request_state &Request = Requests.at(Number);
    const auto Target = Pool.choose(Request, Now);
    if (Target)
      start(Request, *Target, Now);
  }
}

auto dispatcher_core::settleUnservable(const time_point Now) -> void {
  std::vector<request_number> Waiting;
  for (const auto &[Deadline, Number] : Queue)
    Waiting.push_back(Number);
  for (const request_number Number : Waiting) {
    request_state &Request = Requests.at(Number);
    if (Pool.anyFor(Request))
      continue;
    Queue.remove(Request);
    if (Request.InFlight == 0)
      settle(Request, Now);
  }
}

} // namespace tarragon::admission::internal
