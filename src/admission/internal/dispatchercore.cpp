#include "admission/internal/dispatchercore.h"

#include "global/hash.h"

#include <algorithm>
#include <charconv>

namespace tarragon::admission::internal {

namespace {

constexpr std::size_t MaxQueued = 4096;

/// Returns the number from which a dispatcher counts its attempts. The upper
/// half differs between the dispatchers of one instance.
auto firstAttemptNumber(const group_id &Group, const std::uint64_t Seed)
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
      LastAttempt(firstAttemptNumber(Group.Id, Settings.Seed)) {}

auto dispatcher_core::submit(subrequest NewRequest, const time_point Now)
    -> void {
  runTimers(Now);
  Pool.restoreReturned(Now);
  const auto [Entry, Inserted] = NumberByKey.try_emplace(
      {NewRequest.Coordinator, NewRequest.Id}, LastRequest + 1);
  if (!Inserted)
    return;
  request_state &Request = Requests[++LastRequest];
  Request.Number = LastRequest;
  Request.SubmittedAt = Now;
  Request.Stats = &Stats[NewRequest.Contract];
  Request.Request = std::move(NewRequest);
  Request.Settlement.Id = Request.Request.Id;
  Request.Settlement.ProvenNotRun = true;
  Request.Wake = Request.Request.Deadline;
  RequestTimers.emplace(Request.Wake, Request.Number);
  if (Now >= Request.Request.Deadline || !Pool.canServe(Request, Now)) {
    abandon(Request, Now);
    return;
  }
  const microseconds WorkAhead = Queue.workAhead(Request);
  const request_number Number = Request.Number;
  enqueue(Request, Now);
  fillSlots(Now);
  const auto Remaining = Requests.find(Number);
  if (Remaining == Requests.end() || !Request.Queued ||
      !Request.Stats->hasEnoughSamples())
    return;
  const auto Finish =
      Now + WorkAhead / Pool.healthySlots() + requiredTime(Request);
  if (Finish > Request.Request.Deadline)
    abandon(Request, Now);
}

/// Returns the time before the deadline that a waiting request needs when it
/// starts, or 0 while there are too few samples.
auto dispatcher_core::requiredTime(const request_state &Request) const
    -> microseconds {
  if (!Request.Stats->hasEnoughSamples())
    return microseconds{0};
  const auto TotalTime = Request.Request.Deadline - Request.SubmittedAt;
  return std::min(microsecondsOf(TotalTime) / 2, Request.Stats->requiredTime());
}

/// Queues \p Request until shortly before its deadline.
auto dispatcher_core::enqueue(request_state &Request, const time_point Now)
    -> void {
  Queue.push(Request);
  setWake(Request, std::max(Now + microseconds{1},
                            Request.Request.Deadline - requiredTime(Request)));
  if (Queue.size() <= MaxQueued)
    return;
  const auto Victim = Queue.evictionCandidate();
  if (Victim)
    abandon(Requests.at(*Victim), Now);
}

auto dispatcher_core::cancel(const subrequest_id &Id,
                             const instance_id &Coordinator,
                             const time_point Now) -> void {
  const auto Found = NumberByKey.find({Coordinator, Id});
  if (Found != NumberByKey.end())
    expire(Requests.at(Found->second), Now);
}

auto dispatcher_core::onTargetAnnouncement(
    const target_id &Target, const target_announcement Announcement,
    const time_point Now) -> void {
  Pool.onAnnouncement(Target, Announcement, Now);
  abandonUnservable(Now);
}

auto dispatcher_core::setRole(const dispatcher_role Role) -> void {
  Pool.setRole(Role);
}

auto dispatcher_core::reconfigure(const service &Service,
                                  const replica_group &Group,
                                  const int MaxInstances, const time_point Now)
    -> void {
  Pool.reconfigure(Service.Limits, Group, MaxInstances);
  abandonUnservable(Now);
}

auto dispatcher_core::takeActions(const time_point Now) -> dispatch_actions {
  runTimers(Now);
  Pool.restoreReturned(Now);
  fillSlots(Now);
  PoolWake.reset();
  if (Queue.size() > 0)
    PoolWake = Pool.nextAvailabilityChange(Now);
  return std::exchange(Actions, {});
}

auto dispatcher_core::takeCrashReports() -> std::vector<crash_report> {
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
  if (!SlotReleaseTimers.empty())
    Consider(SlotReleaseTimers.begin()->first);
  return Wake;
}

auto dispatcher_core::idle() const -> bool {
  return Requests.empty() && Attempts.empty();
}

auto dispatcher_core::attemptId(const attempt_number Number) const
    -> attempt_id {
  return AttemptPrefix + std::to_string(Number);
}

/// Returns 0, which is not a valid attempt number, if \p Id does not belong to
/// this dispatcher.
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
  if (Queue.size() == 0 || !Pool.anyFreeSlot(Now))
    return;
  Queue.offer(
      [&](const request_number Number) { return startQueued(Number, Now); });
}

auto dispatcher_core::startQueued(const request_number Number,
                                  const time_point Now) -> bool {
  request_state &Request = Requests.at(Number);
  const subrequest &Submitted = Request.Request;
  const bool Crashed = RecentCrashes.contains(Submitted.Fingerprint, Now);
  if (Crashed && !Request.RecentlyCrashed) {
    Queue.remove(Request);
    Request.RecentlyCrashed = true;
    Request.Request.Suspect = true;
    Queue.push(Request);
    return true;
  }
  if (Submitted.Suspect && SuspectsInFlight > 0)
    return false;
  if (Crashed && !Pool.toleratesAnotherCrash(Now))
    return false;
  const auto Target = Pool.choose(Request, Queue.size(), Now);
  if (!Target)
    return false;
  Queue.remove(Request);
  Queue.charge(Request);
  if (Request.Settlement.Attempts == 0)
    Budget.deposit(Submitted.HedgeBudget);
  start(Request, *Target, Now);
  const bool HasSamples = Request.Stats->hasEnoughSamples();
  const auto Delay = HasSamples ? Request.Stats->lateThreshold()
                                : microsecondsOf(Submitted.Deadline - Now) / 3;
  setWake(Request, std::min(Submitted.Deadline, Now + Delay));
  probe(Request, Now);
  return true;
}

/// Starts a second attempt as the probe of an ejected or slow target, so that
/// no caller waits for the probe.
auto dispatcher_core::probe(request_state &Request, const time_point Now)
    -> void {
  if (!mayHedge(Request) || Budget.empty())
    return;
  const auto Target = Pool.chooseProbe(Request, Now);
  if (Target && Budget.tryWithdraw())
    start(Request, *Target, Now);
}

auto dispatcher_core::mayHedge(const request_state &Request) const -> bool {
  const subrequest &Submitted = Request.Request;
  return Submitted.Repeatable && !Submitted.Suspect &&
         Submitted.HedgeBudget > 0;
}

auto dispatcher_core::start(request_state &Request, const std::size_t Target,
                            const time_point Now) -> void {
  const attempt_number Number = ++LastAttempt;
  const subrequest &Submitted = Request.Request;
  Attempts[Number] = {.Request = Request.Number,
                      .Target = Target,
                      .StartedAt = Now,
                      .Fingerprint = Submitted.Fingerprint,
                      .Suspect = Submitted.Suspect};
  Pool.onStart(Target, Submitted.Suspect);
  SuspectsInFlight += Submitted.Suspect ? 1 : 0;
  Request.InFlight.push_back(Number);
  ++Request.Settlement.Attempts;
  Actions.emplace_back(
      start_attempt{attemptId(Number), Pool.targetAt(Target), Submitted});
}

} // namespace tarragon::admission::internal
