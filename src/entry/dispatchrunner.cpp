#include "entry/dispatchrunner.h"

#include "global/hash.h"
#include "global/log.h"
#include "transport/workerpool.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace tarragon::entry {

namespace {

using admission::dispatcher_role;
using admission::target_announcement;

/// 2^64 divided by the golden ratio; spreads consecutive versions over all
/// 64 bits.
constexpr std::uint64_t SeedMultiplier = 0x9e3779b97f4a7c15;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// Returns the number of connections that one instance may keep open to a
/// target of any service.
auto connectionQuota(const deployment &Deployment) -> long {
  long Quota = std::numeric_limits<long>::max();
  for (const service &Service : Deployment.Services)
    Quota = std::min<long>(Quota, Service.Limits.Connections /
                                      std::max(1, Deployment.MaxInstances));
  return std::max(1L, Quota);
}

} // namespace

dispatch_runner::dispatch_runner(const instance &Self,
                                 transport::worker_pool &Pool,
                                 handlers Handlers)
    : Self(Self), Pool(Pool), Handlers(std::move(Handlers)), Client(Self.Id) {}

dispatch_runner::~dispatch_runner() = default;

auto dispatch_runner::reconfigure(const deployment &Deployment,
                                  const config_version NewVersion) -> void {
  Client.setMaxConnections(connectionQuota(Deployment));
  std::vector<std::pair<state_pointer, const service *>> Kept;
  {
    const std::lock_guard Lock(Mutex);
    Version = NewVersion;
    std::map<group_id, state_pointer> Next;
    for (const service &Service : Deployment.Services)
      for (const replica_group &Group : Service.Groups) {
        const auto Found = States.extract(Group.Id);
        if (Found.empty()) {
          Next.emplace(Group.Id, makeState(Deployment, Service, Group));
          continue;
        }
        Kept.emplace_back(Found.mapped(), &Service);
        Next.emplace(Group.Id, Found.mapped());
      }
    // A retired dispatcher is kept so that its work in flight can finish.
    for (const auto &[Group, State] : States)
      Retired.push_back(State);
    States.swap(Next);
  }
  for (const auto &[State, Service] : Kept)
    reconfigureState(State, *Service, Deployment.MaxInstances);
}

auto dispatch_runner::makeState(const deployment &Deployment,
                                const service &Service,
                                const replica_group &Group) -> state_pointer {
  // The version in the seed separates the attempts of a dispatcher that is
  // created again for the same group from those of its predecessor.
  const std::uint64_t Seed =
      hash64(Group.Id, Self.Incarnation ^ (Version * SeedMultiplier));
  const admission::dispatcher_settings Settings{
      Self.Id, Self.Incarnation, Self.Domain, Deployment.MaxInstances, Seed};
  return std::make_shared<group_state>(Service, Group, Settings);
}

auto dispatch_runner::reconfigureState(const state_pointer &State,
                                       const service &Service,
                                       const int MaxInstances) -> void {
  const auto Found = std::find_if(
      Service.Groups.begin(), Service.Groups.end(),
      [&State](const auto &Group) { return Group.Id == State->Group.Id; });
  if (Found == Service.Groups.end())
    return;
  const replica_group &Group = *Found;
  step(State, [&](admission::group_dispatcher &Dispatcher) {
    State->Group = Group;
    return Dispatcher.reconfigure(Service, Group, MaxInstances, now());
  });
}

auto dispatch_runner::setOwned(const std::set<group_id> &NewOwned) -> void {
  std::vector<std::pair<state_pointer, dispatcher_role>> Changes;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Group, State] : States)
      Changes.emplace_back(State, NewOwned.contains(Group)
                                      ? dispatcher_role::Owner
                                      : dispatcher_role::NonOwner);
    Owned = NewOwned;
  }
  for (const auto &[State, Role] : Changes)
    step(State, [&, Role = Role](admission::group_dispatcher &Dispatcher) {
      return Dispatcher.setRole(Role, now());
    });
}

auto dispatch_runner::submit(subrequest Request) -> void {
  const state_pointer State = find(Request.Group);
  if (!State) {
    settlement Settlement;
    Settlement.Id = Request.Id;
    Settlement.Outcome = attempt_outcome::NotRun;
    Settlement.ProvenNotRun = true;
    return Handlers.OnSettled(Request.Coordinator, std::move(Settlement));
  }
  step(State, [&](admission::group_dispatcher &Dispatcher) {
    return Dispatcher.submit(std::move(Request), now());
  });
}

auto dispatch_runner::cancel(const subrequest_id &Id,
                             const instance_id &Coordinator,
                             const group_id &Group) -> void {
  const state_pointer State = find(Group);
  if (!State)
    return;
  step(State, [&](admission::group_dispatcher &Dispatcher) {
    return Dispatcher.cancel(Id, Coordinator, now());
  });
}

auto dispatch_runner::setTargetStates(const std::set<target_id> &Leaving,
                                      const std::set<target_id> &Live) -> void {
  for (const state_pointer &State : allStates())
    step(State, [&](admission::group_dispatcher &Dispatcher) {
      admission::dispatch_actions Actions;
      for (const target &Target : State->Group.Targets) {
        const bool IsLeaving = Leaving.contains(Target.Id);
        if (!IsLeaving && !Live.contains(Target.Id))
          continue;
        const auto Announcement = IsLeaving ? target_announcement::Leaving
                                            : target_announcement::Returned;
        auto NewActions =
            Dispatcher.onTargetAnnouncement(Target.Id, Announcement, now());
        std::move(NewActions.begin(), NewActions.end(),
                  std::back_inserter(Actions));
      }
      return Actions;
    });
}

auto dispatch_runner::allStates() const -> std::vector<state_pointer> {
  const std::lock_guard Lock(Mutex);
  std::vector<state_pointer> All = Retired;
  for (const auto &[Group, State] : States)
    All.push_back(State);
  return All;
}

auto dispatch_runner::idle() const -> bool {
  const auto All = allStates();
  return std::all_of(All.begin(), All.end(), [](const state_pointer &State) {
    const std::lock_guard Lock(State->Mutex);
    return State->Dispatcher.idle();
  });
}

auto dispatch_runner::connectionsOpened() const -> std::uint64_t {
  return Client.connectionsOpened();
}

auto dispatch_runner::find(const group_id &Group) const -> state_pointer {
  const std::lock_guard Lock(Mutex);
  const auto Found = States.find(Group);
  return Found == States.end() ? nullptr : Found->second;
}

template <class Event>
auto dispatch_runner::step(const state_pointer &State, Event &&Apply) -> void {
  admission::dispatch_actions Actions;
  std::vector<admission::crash_report> Crashes;
  {
    const std::lock_guard Lock(State->Mutex);
    Actions = Apply(State->Dispatcher);
    Crashes = State->Dispatcher.takeCrashReports();
  }
  // Crashes are reported before the settlements, so that whatever follows a
  // settlement, such as a retry, already takes them into account.
  for (const admission::crash_report &Crash : Crashes)
    Handlers.OnCrash(Crash);
  perform(State, std::move(Actions));
  scheduleWake(State);
}

auto dispatch_runner::perform(const state_pointer &State,
                              admission::dispatch_actions Actions) -> void {
  for (admission::dispatch_action &Action : Actions) {
    if (const auto *Start = std::get_if<admission::start_attempt>(&Action))
      startAttempt(State, *Start);
    else if (const auto *Cancel =
                 std::get_if<admission::cancel_attempt>(&Action))
      Client.cancel(*Cancel);
    else if (auto *Settle = std::get_if<admission::settle_subrequest>(&Action))
      Handlers.OnSettled(Settle->Coordinator, std::move(Settle->Settlement));
  }
}

auto dispatch_runner::startAttempt(const state_pointer &State,
                                   const admission::start_attempt &Start)
    -> void {
  Client.start(Start, [this, State](admission::attempt_result Result) {
    Pool.post([this, State, Result = std::move(Result)] {
      step(State, [&](admission::group_dispatcher &Dispatcher) {
        return Dispatcher.onAttemptDone(Result, now());
      });
    });
  });
}

auto dispatch_runner::scheduleWake(const state_pointer &State) -> void {
  time_point WakeAt;
  {
    const std::lock_guard Lock(State->Mutex);
    const auto Next = State->Dispatcher.nextWake();
    if (!Next || *Next >= State->WakeAt)
      return;
    State->WakeAt = *Next;
    WakeAt = *Next;
  }
  Pool.postAt(WakeAt, [this, State] { onWake(State); });
}

auto dispatch_runner::onWake(const state_pointer &State) -> void {
  step(State, [&State](admission::group_dispatcher &Dispatcher) {
    State->WakeAt = time_point::max();
    return Dispatcher.onTimer(now());
  });
}

} // namespace tarragon::entry
