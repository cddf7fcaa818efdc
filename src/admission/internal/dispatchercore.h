#pragma once

#include "admission/internal/attemptstate.h"
#include "admission/internal/requestqueue.h"
#include "admission/internal/targetpool.h"
#include "admission/types/attemptresult.h"
#include "admission/types/dispatchaction.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace tarragon::admission::internal {

/// The state and rules behind group_dispatcher.
class dispatcher_core {
public:
  dispatcher_core(const service &Service, const replica_group &Group,
                  dispatcher_settings Settings, dispatcher_role Role);

  auto submit(subrequest Request, time_point Now) -> void;
  auto onAttemptDone(const attempt_result &Result, time_point Now) -> void;
  auto cancel(const subrequest_id &Id, const instance_id &Root, time_point Now)
      -> void;
  auto onTargetSign(const target_id &Target, target_sign Sign, time_point Now)
      -> void;
  auto setRole(dispatcher_role Role) -> void;
  auto reconfigure(const service &Service, const replica_group &Group,
                   int MostInstances, time_point Now) -> void;

  /// Runs due timers, fills free slots and hands over the actions so far.
  auto takeActions(time_point Now) -> dispatch_actions;
  auto nextWake() const -> std::optional<time_point>;
  auto idle() const -> bool;

private:
  auto nextAttemptId() -> attempt_id;
  auto start(request_state &Request, std::size_t Target, time_point Now)
      -> void;
  auto settle(request_state &Request, time_point Now) -> void;
  auto cancelAttempts(const request_state &Request, time_point Now) -> void;
  auto expire(request_state &Request, time_point Now) -> void;
  auto runTimers(time_point Now) -> void;
  auto fillSlots(time_point Now) -> void;
  auto settleUnservable(time_point Now) -> void;

  dispatcher_settings Settings;
  target_pool Pool;
  request_queue Queue;
  std::uint64_t AttemptCounter;
  request_number LastRequest = 0;
  std::unordered_map<request_number, request_state> Requests;
  std::map<std::pair<instance_id, subrequest_id>, request_number> Known;
  std::unordered_map<attempt_id, attempt_state> Attempts;
  std::set<std::pair<time_point, request_number>> RequestTimers;
  std::set<std::pair<time_point, attempt_id>> AttemptTimers;
  dispatch_actions Actions;
};

} // namespace tarragon::admission::internal
