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
using admission::target_sign;

constexpr std::uint64_t SeedStep = 0x9e3779b97f4a7c15;

auto now() -> time_point { return std::chrono::steady_clock::now(); }

/// What every instance may hold open to one target of any service.
auto connectionShare(const deployment &Deployment) -> long {
  long Share = std::numeric_limits<long>::max();
  for (const service &Service : Deployment.Services)
    Share = std::min<long>(Share, Service.Limits.Connections /
                                      std::max(1, Deployment.MostInstances));
  return std::max(1L, Share);
}

} // namespace

dispatch_runner::dispatch_runner(const instance &Self,
                                 transport::worker_pool &Pool,
                                 handlers Handlers)
    : Self(Self), Pool(Pool), Handlers(std::move(Handlers)), Link(Self.Id) {}

dispatch_runner::~dispatch_runner() = default;

auto dispatch_runner::reconfigure(const deployment &Deployment,
                                  const config_version NewVersion) -> void {
  Link.limitConnections(connectionShare(Deployment));
  std::vector<std::pair<slot_pointer, const service *>> Kept;
  {
    const std::lock_guard Lock(Mutex);
    Version = NewVersion;
    std::map<group_id, slot_pointer> Next;
    for (const service &Service : Deployment.Services)
      for (const replica_group &Group : Service.Groups) {
        const auto Found = Slots.extract(Group.Id);
        if (Found.empty()) {
          Next.emplace(Group.Id, makeSlot(Deployment, Service, Group));
          continue;
        }
        Kept.emplace_back(Found.mapped(), &Service);
        Next.emplace(Group.Id, Found.mapped());
      }
    // A retired dispatcher lives on until what it runs has ended.
    for (const auto &[Group, Slot] : Slots)
      Retired.push_back(Slot);
    Slots.swap(Next);
  }
  for (const auto &[Slot, Service] : Kept)
    reconfigureSlot(Slot, *Service, Deployment.MostInstances);
}

auto dispatch_runner::makeSlot(const deployment &Deployment,
                               const service &Service,
                               const replica_group &Group) -> slot_pointer {
  // The version keeps the attempts of a dispatcher that is made again apart
  // from those of the one before.
  const std::uint64_t Seed =
      hash64(Group.Id, Self.Incarnation ^ (Version * SeedStep));
  const admission::dispatcher_settings Settings{
      Self.Id, Self.Incarnation, Self.Domain, Deployment.MostInstances, Seed};
  return std::make_shared<slot>(Service, Group, Settings);
}

auto dispatch_runner::reconfigureSlot(const slot_pointer &Slot,
                                      const service &Service,
                                      const int MostInstances) -> void {
  const auto Found = std::find_if(
      Service.Groups.begin(), Service.Groups.end(),
      [&Slot](const auto &Group) { return Group.Id == Slot->Group.Id; });
  if (Found == Service.Groups.end())
    return;
  const replica_group &Group = *Found;
  step(Slot, [&](admission::group_dispatcher &Dispatcher) {
    Slot->Group = Group;
    return Dispatcher.reconfigure(Service, Group, MostInstances, now());
  });
}

auto dispatch_runner::setOwned(const std::set<group_id> &NowOwned) -> void {
  std::vector<std::pair<slot_pointer, dispatcher_role>> Changes;
  {
    const std::lock_guard Lock(Mutex);
    for (const auto &[Group, Slot] : Slots)
      Changes.emplace_back(Slot, NowOwned.contains(Group)
                                     ? dispatcher_role::Owner
                                     : dispatcher_role::Guest);
    Owned = NowOwned;
  }
  for (const auto &[Slot, Role] : Changes)
    step(Slot, [&, Role = Role](admission::group_dispatcher &Dispatcher) {
      return Dispatcher.setRole(Role, now());
    });
}

auto dispatch_runner::submit(subrequest Request) -> void {
  const slot_pointer Slot = find(Request.Group);
  if (!Slot) {
    settlement Settlement;
    Settlement.Id = Request.Id;
    Settlement.Outcome = attempt_outcome::NotRun;
    Settlement.ProvenNotRun = true;
    return Handlers.OnSettled(Request.Root, std::move(Settlement));
  }
  step(Slot, [&](admission::group_dispatcher &Dispatcher) {
    return Dispatcher.submit(std::move(Request), now());
  });
}

auto dispatch_runner::cancel(const subrequest_id &Id, const instance_id &Root,
                             const group_id &Group) -> void {
  const slot_pointer Slot = find(Group);
  if (!Slot)
    return;
  step(Slot, [&](admission::group_dispatcher &Dispatcher) {
    return Dispatcher.cancel(Id, Root, now());
  });
}

auto dispatch_runner::setTargetStates(const std::set<target_id> &Leaving,
                                      const std::set<target_id> &Live) -> void {
  for (const slot_pointer &Slot : allSlots())
    step(Slot, [&](admission::group_dispatcher &Dispatcher) {
      admission::dispatch_actions Actions;
      for (const target &Target : Slot->Group.Targets) {
        const bool Leaves = Leaving.contains(Target.Id);
        if (!Leaves && !Live.contains(Target.Id))
          continue;
        const auto Sign = Leaves ? target_sign::Leaving : target_sign::Returned;
        auto More = Dispatcher.onTargetSign(Target.Id, Sign, now());
        std::move(More.begin(), More.end(), std::back_inserter(Actions));
      }
      return Actions;
    });
}

auto dispatch_runner::allSlots() const -> std::vector<slot_pointer> {
  const std::lock_guard Lock(Mutex);
  std::vector<slot_pointer> All = Retired;
  for (const auto &[Group, Slot] : Slots)
    All.push_back(Slot);
  return All;
}

auto dispatch_runner::idle() const -> bool {
  const auto All = allSlots();
  return std::all_of(All.begin(), All.end(), [](const slot_pointer &Slot) {
    const std::lock_guard Lock(Slot->Mutex);
    return Slot->Dispatcher.idle();
  });
}

auto dispatch_runner::connectionsOpened() const -> std::uint64_t {
  return Link.connectionsOpened();
}

auto dispatch_runner::find(const group_id &Group) const -> slot_pointer {
  const std::lock_guard Lock(Mutex);
  const auto Found = Slots.find(Group);
  return Found == Slots.end() ? nullptr : Found->second;
}

template <class Event>
auto dispatch_runner::step(const slot_pointer &Slot, Event &&Apply) -> void {
  admission::dispatch_actions Actions;
  std::vector<admission::crash_report> Crashes;
  {
    const std::lock_guard Lock(Slot->Mutex);
    Actions = Apply(Slot->Dispatcher);
    Crashes = Slot->Dispatcher.takeCrashes();
  }
  // Told before the settlements, so that what follows them finds it known.
  for (const admission::crash_report &Crash : Crashes)
    Handlers.OnCrash(Crash);
  perform(Slot, std::move(Actions));
  arrangeWake(Slot);
}

auto dispatch_runner::perform(const slot_pointer &Slot,
                              admission::dispatch_actions Actions) -> void {
  for (admission::dispatch_action &Action : Actions) {
    if (const auto *Start = std::get_if<admission::start_attempt>(&Action))
      startAttempt(Slot, *Start);
    else if (const auto *Cancel =
                 std::get_if<admission::cancel_attempt>(&Action))
      Link.cancel(*Cancel);
    else if (auto *Settle = std::get_if<admission::settle_subrequest>(&Action))
      Handlers.OnSettled(Settle->Root, std::move(Settle->Settlement));
  }
}

auto dispatch_runner::startAttempt(const slot_pointer &Slot,
                                   const admission::start_attempt &Start)
    -> void {
  Link.start(Start, [this, Slot](admission::attempt_result Result) {
    Pool.post([this, Slot, Result = std::move(Result)] {
      step(Slot, [&](admission::group_dispatcher &Dispatcher) {
        return Dispatcher.onAttemptDone(Result, now());
      });
    });
  });
}

auto dispatch_runner::arrangeWake(const slot_pointer &Slot) -> void {
  time_point WakeAt;
  {
    const std::lock_guard Lock(Slot->Mutex);
    const auto Next = Slot->Dispatcher.nextWake();
    if (!Next || *Next >= Slot->WakeAt)
      return;
    Slot->WakeAt = *Next;
    WakeAt = *Next;
  }
  Pool.postAt(WakeAt, [this, Slot] { onWake(Slot); });
}

auto dispatch_runner::onWake(const slot_pointer &Slot) -> void {
  step(Slot, [&Slot](admission::group_dispatcher &Dispatcher) {
    Slot->WakeAt = time_point::max();
    return Dispatcher.onTimer(now());
  });
}

} // namespace tarragon::entry
