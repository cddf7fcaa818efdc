#include "admission/internal/dispatchercore.h"

#include "global/hash.h"

#include <algorithm>
#include <charconv>

namespace tarragon::admission::internal {

namespace {

constexpr std::size_t MostQueued = 4096;

/// The upper half keeps dispatchers of one instance apart.
auto firstNumber(const group_id &Group, const std::uint64_t Seed)
    -> attempt_number {
  return (hash64(Group, Seed) >> 33) << 32;
}

auto microsecondsOf(const time_point::duration Duration) -> microseconds {
  return std::chrono::duration_cast<microseconds>(Duration);
}

} // namespace

dispatcher_core::dispatcher_core(const service &Service,
                                 const replica_group &Group,
                                 dispatcher_settings NewSettings,
                                 const dispatcher_role Role)
    : Settings(std::move(NewSettings)),
      AttemptPrefix(Settings.Instance + "." +
                    std::to_string(Settings.Incarnation) + "."),
      Pool(Service.Limits, Group, Settings, Role),
      LastAttempt(firstNumber(Group.Id, Settings.Seed)) {}

auto dispatcher_core::submit(subrequest NewRequest, const time_point Now)
    -> void {
  runTimers(Now);
  Pool.takeReturned(Now);
  const auto [Entry, New] =
      Known.try_emplace({NewRequest.Root, NewRequest.Id}, LastRequest + 1);
  if (!New)
    return;
  request_state &Request = Requests[++LastRequest];
  Request.Number = LastRequest;
  Request.SubmittedAt = Now;
  Request.Stats = &Stats[NewRequest.Contract];
  Request.Request = std::move(NewRequest);
  Request.End.Id = Request.Request.Id;
  Request.End.ProvenNotRun = true;
  Request.Wake = Request.Request.Deadline;
  RequestTimers.emplace(Request.Wake, Request.Number);
  if (Now >= Request.Request.Deadline || !Pool.anyFor(Request, Now)) {
    giveUp(Request, Now);
    return;
  }
  const microseconds Ahead = Queue.workAhead(Request);
  const request_number Number = Request.Number;
  enqueue(Request, Now);
  fillSlots(Now);
  const auto Left = Requests.find(Number);
  if (Left == Requests.end() || !Request.Queued || !Request.Stats->known())
    return;
  const auto Finish = Now + Ahead / Pool.slots() + needed(Request);
  if (Finish > Request.Request.Deadline)
    giveUp(Request, Now);
}

/// What a waiting request should have left when it starts; 0 while unknown.
auto dispatcher_core::needed(const request_state &Request) const
    -> microseconds {
  if (!Request.Stats->known())
    return microseconds{0};
  const auto Whole = Request.Request.Deadline - Request.SubmittedAt;
  return std::min(microsecondsOf(Whole) / 2, Request.Stats->needed());
}

/// Queues \p Request until shortly before its deadline.
auto dispatcher_core::enqueue(request_state &Request, const time_point Now)
    -> void {
  Queue.push(Request);
  setWake(Request, std::max(Now + microseconds{1},
                            Request.Request.Deadline - needed(Request)));
  if (Queue.size() <= MostQueued)
    return;
  const auto Surplus = Queue.surplus();
  if (Surplus)
    giveUp(Requests.at(*Surplus), Now);
}

auto dispatcher_core::cancel(const subrequest_id &Id, const instance_id &Root,
                             const time_point Now) -> void {
  const auto Found = Known.find({Root, Id});
  if (Found != Known.end())
    expire(Requests.at(Found->second), Now);
}

auto dispatcher_core::onTargetSign(const target_id &Target,
                                   const target_sign Sign, const time_point Now)
    -> void {
  Pool.onSign(Target, Sign, Now);
  giveUpUnservable(Now);
}

auto dispatcher_core::setRole(const dispatcher_role Role) -> void {
  Pool.setRole(Role);
}

auto dispatcher_core::reconfigure(const service &Service,
                                  const replica_group &Group,
                                  const int MostInstances, const time_point Now)
    -> void {
  Pool.reconfigure(Service.Limits, Group, MostInstances);
  giveUpUnservable(Now);
}

auto dispatcher_core::takeActions(const time_point Now) -> dispatch_actions {
  runTimers(Now);
  Pool.takeReturned(Now);
  fillSlots(Now);
  PoolWake.reset();
  if (Queue.size() > 0)
    PoolWake = Pool.nextChange(Now);
  return std::exchange(Actions, {});
}

auto dispatcher_core::takeCrashes() -> std::vector<crash_report> {
  return std::exchange(Crashes, {});
}

auto dispatcher_core::nextWake() const -> std::optional<time_point> {
  std::optional<time_point> Wake = PoolWake;
  const auto Consider = [&](const time_point At) {
    if (!Wake || At < *Wake)
      Wake = At;
  };
  if (!RequestTimers.empty())
    Consider(RequestTimers.begin()->first);
  if (!GiveUpTimers.empty())
    Consider(GiveUpTimers.begin()->first);
  return Wake;
}

auto dispatcher_core::idle() const -> bool {
  return Requests.empty() && Attempts.empty();
}

auto dispatcher_core::attemptId(const attempt_number Number) const
    -> attempt_id {
  return AttemptPrefix + std::to_string(Number);
}

/// 0, which is no attempt, when \p Id is not of this dispatcher.
auto dispatcher_core::attemptNumber(const attempt_id &Id) const
    -> attempt_number {
  attempt_number Number = 0;
  if (!Id.starts_with(AttemptPrefix))
    return 0;
  const char *const End = Id.data() + Id.size();
  const auto [Rest, Error] =
      std::from_chars(Id.data() + AttemptPrefix.size(), End, Number);
  return Error == std::errc{} && Rest == End ? Number : 0;
}

auto dispatcher_core::setWake(request_state &Request, const time_point Wake)
    -> void {
  if (Wake == Request.Wake)
    return;
  auto Timer = RequestTimers.extract({Request.Wake, Request.Number});
  Request.Wake = Wake;
  Timer.value().first = Wake;
  RequestTimers.insert(std::move(Timer));
}

auto dispatcher_core::fillSlots(const time_point Now) -> void {
  if (Queue.size() == 0 || !Pool.anyFree(Now))
    return;
  Queue.offer(
      [&](const request_number Number) { return startWaiting(Number, Now); });
}

auto dispatcher_core::startWaiting(const request_number Number,
                                   const time_point Now) -> bool {
  request_state &Request = Requests.at(Number);
  const subrequest &Sent = Request.Request;
  const bool Crashed = CrashedLately.has(Sent.Fingerprint, Now);
  if (Crashed && !Request.CrashedLately) {
    Queue.remove(Request);
    Request.CrashedLately = true;
    Request.Request.Suspect = true;
    Queue.push(Request);
    return true;
  }
  if (Sent.Suspect && SuspectsInFlight > 0)
    return false;
  if (Crashed && !Pool.sparesOne(Now))
    return false;
  const auto Target = Pool.choose(Request, Queue.size(), Now);
  if (!Target)
    return false;
  Queue.remove(Request);
  Queue.charge(Request);
  if (Request.End.Attempts == 0)
    Budget.earn(Sent.HedgeBudget);
  start(Request, *Target, Now);
  const bool Known = Request.Stats->known();
  const auto Delay = Known ? Request.Stats->lateAfter()
                           : microsecondsOf(Sent.Deadline - Now) / 3;
  setWake(Request, std::min(Sent.Deadline, Now + Delay));
  probe(Request, Now);
  return true;
}

/// Tries a doubtful target beside the chosen one, so that no caller waits for
/// it.
auto dispatcher_core::probe(request_state &Request, const time_point Now)
    -> void {
  if (!mayHedge(Request) || Budget.empty())
    return;
  const auto Target = Pool.chooseProbe(Request, Now);
  if (Target && Budget.take())
    start(Request, *Target, Now);
}

auto dispatcher_core::mayHedge(const request_state &Request) const -> bool {
  const subrequest &Sent = Request.Request;
  return Sent.Repeatable && !Sent.Suspect && Sent.HedgeBudget > 0;
}

auto dispatcher_core::start(request_state &Request, const std::size_t Target,
                            const time_point Now) -> void {
  const attempt_number Number = ++LastAttempt;
  const subrequest &Sent = Request.Request;
  Attempts[Number] = {.Request = Request.Number,
                      .Target = Target,
                      .StartedAt = Now,
                      .Fingerprint = Sent.Fingerprint,
                      .Suspect = Sent.Suspect};
  Pool.onStart(Target, Sent.Suspect);
  SuspectsInFlight += Sent.Suspect ? 1 : 0;
  Request.InFlight.push_back(Number);
  ++Request.End.Attempts;
  Actions.emplace_back(
      start_attempt{attemptId(Number), Pool.targetAt(Target), Sent});
}

} // namespace tarragon::admission::internal
