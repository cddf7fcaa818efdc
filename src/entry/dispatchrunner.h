#pragma once

#include "admission/groupdispatcher.h"
#include "admission/types/crashreport.h"
#include "entry/targetclient.h"
#include "world/types/deployment.h"
#include "world/types/instance.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace tarragon::transport {
class worker_pool;
}

namespace tarragon::entry {

/// Runner of the dispatchers of all replica groups: performs their actions and
/// schedules their timers.
class dispatch_runner {
public:
  struct handlers {
    std::function<void(const instance_id &Coordinator, settlement Settlement)>
        OnSettled;
    /// Called when a target crashed, before OnSettled of the request that it
    /// was running.
    std::function<void(const admission::crash_report &Report)> OnCrash;
  };

  dispatch_runner(const instance &Self, transport::worker_pool &Pool,
                  handlers Handlers);
  ~dispatch_runner();

  /// Creates, reconfigures and retires dispatchers for a new configuration.
  auto reconfigure(const deployment &Deployment, config_version Version)
      -> void;

  /// Sets the groups that this instance owns.
  auto setOwned(const std::set<group_id> &Owned) -> void;

  /// Submits \p Request to the dispatcher of its group; settles it as NotRun
  /// when the group is unknown.
  auto submit(subrequest Request) -> void;
  auto cancel(const subrequest_id &Id, const instance_id &Coordinator,
              const group_id &Group) -> void;

  /// Sets the targets that are leaving and live according to the platform. Call
  /// it after each read of the platform's list.
  auto setTargetStates(const std::set<target_id> &Leaving,
                       const std::set<target_id> &Live) -> void;

  /// Returns whether no dispatcher has work queued or in flight.
  auto idle() const -> bool;
  auto connectionsOpened() const -> std::uint64_t;

private:
  /// Dispatcher of one replica group.
  struct group_state {
    group_state(const service &Service, const replica_group &Group,
                const admission::dispatcher_settings &Settings)
        : Dispatcher(Service, Group, Settings,
                     admission::dispatcher_role::NonOwner),
          Group(Group) {}
    std::mutex Mutex; // rank 60
    admission::group_dispatcher Dispatcher;
    replica_group Group;
    time_point WakeAt = time_point::max(); ///< earliest scheduled timer
  };
  using state_pointer = std::shared_ptr<group_state>;

  auto find(const group_id &Group) const -> state_pointer;
  auto allStates() const -> std::vector<state_pointer>;
  auto makeState(const deployment &Deployment, const service &Service,
                 const replica_group &Group) -> state_pointer;
  auto reconfigureState(const state_pointer &State, const service &Service,
                        int MaxInstances) -> void;
  auto perform(const state_pointer &State, admission::dispatch_actions Actions)
      -> void;
  auto scheduleWake(const state_pointer &State) -> void;
  auto onWake(const state_pointer &State) -> void;
  auto startAttempt(const state_pointer &State,
                    const admission::start_attempt &Start) -> void;
  /// Applies one event to the dispatcher under its lock, then reports crashes,
  /// performs the resulting actions and schedules the next timer.
  template <class Event>
  auto step(const state_pointer &State, Event &&Apply) -> void;

  instance Self;
  config_version Version = 0;
  transport::worker_pool &Pool;
  handlers Handlers;
  mutable std::mutex Mutex; // rank 55: guards the maps; locked before a
                            // group's mutex
  std::map<group_id, state_pointer> States;
  std::set<group_id> Owned;
  std::vector<state_pointer> Retired; ///< may have work in flight
  target_client Client;
};

} // namespace tarragon::entry
