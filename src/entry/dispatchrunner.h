#pragma once

#include "admission/groupdispatcher.h"
#include "admission/types/crashreport.h"
#include "entry/targetlink.h"
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

/// Runs the dispatchers of all replica groups: carries out their actions and
/// wakes them in time.
class dispatch_runner {
public:
  struct handlers {
    std::function<void(const instance_id &Root, settlement Settlement)>
        OnSettled;
    /// Comes before the settlement of the request that ran.
    std::function<void(const admission::crash_report &Report)> OnCrash;
  };

  dispatch_runner(const instance &Self, transport::worker_pool &Pool,
                  handlers Handlers);
  ~dispatch_runner();

  /// Makes, changes and retires dispatchers after a change of configuration.
  auto reconfigure(const deployment &Deployment, config_version Version)
      -> void;

  /// Takes which groups this instance owns now.
  auto setOwned(const std::set<group_id> &Owned) -> void;

  /// Runs \p Request here; settled as NotRun when the group is unknown.
  auto submit(subrequest Request) -> void;
  auto cancel(const subrequest_id &Id, const instance_id &Root,
              const group_id &Group) -> void;

  /// Takes the platform's word on targets: which leave, which are live. To be
  /// repeated with each reading of the list.
  auto setTargetStates(const std::set<target_id> &Leaving,
                       const std::set<target_id> &Live) -> void;

  /// Whether no dispatcher has work queued or in flight.
  auto idle() const -> bool;
  auto connectionsOpened() const -> std::uint64_t;

private:
  struct slot {
    slot(const service &Service, const replica_group &Group,
         const admission::dispatcher_settings &Settings)
        : Dispatcher(Service, Group, Settings,
                     admission::dispatcher_role::Guest),
          Group(Group) {}
    std::mutex Mutex; // rank 60
    admission::group_dispatcher Dispatcher;
    replica_group Group;
    time_point WakeAt = time_point::max(); ///< the earliest wake arranged
  };
  using slot_pointer = std::shared_ptr<slot>;

  auto find(const group_id &Group) const -> slot_pointer;
  auto allSlots() const -> std::vector<slot_pointer>;
  auto makeSlot(const deployment &Deployment, const service &Service,
                const replica_group &Group) -> slot_pointer;
  auto reconfigureSlot(const slot_pointer &Slot, const service &Service,
                       int MostInstances) -> void;
  auto perform(const slot_pointer &Slot, admission::dispatch_actions Actions)
      -> void;
  auto arrangeWake(const slot_pointer &Slot) -> void;
  auto onWake(const slot_pointer &Slot) -> void;
  auto startAttempt(const slot_pointer &Slot,
                    const admission::start_attempt &Start) -> void;
  template <class Event>
  auto step(const slot_pointer &Slot, Event &&Apply) -> void;

  instance Self;
  config_version Version = 0;
  transport::worker_pool &Pool;
  handlers Handlers;
  mutable std::mutex Mutex; // rank 55: taken before a slot's, for the map only
  std::map<group_id, slot_pointer> Slots;
  std::set<group_id> Owned;
  std::vector<slot_pointer> Retired; ///< with work in flight
  target_link Link;
};

} // namespace tarragon::entry
