#pragma once

#include "admission/internal/attemptstate.h"
#include "admission/internal/crashhistory.h"
#include "admission/internal/extraattemptbudget.h"
#include "admission/internal/fairqueue.h"
#include "admission/internal/replicapool.h"
#include "admission/internal/requestkey.h"
#include "admission/types/attemptresult.h"
#include "admission/types/crashreport.h"
#include "admission/types/dispatchaction.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace tarragon::admission::internal {

/// The implementation of group_dispatcher.
class dispatcher_core {
public:
  dispatcher_core(const service &Service, const replica_group &Group,
                  dispatcher_settings Settings, dispatcher_role Role);

  auto submit(subrequest Request, time_point Now) -> void;
  auto onAttemptDone(const attempt_result &Result, time_point Now) -> void;
  auto cancel(const subrequest_id &Id, const instance_id &Coordinator,
              time_point Now) -> void;
  auto onTargetAnnouncement(const target_id &Target,
                            target_announcement Announcement, time_point Now)
      -> void;
  auto setRole(dispatcher_role Role) -> void;
  auto reconfigure(const service &Service, const replica_group &Group,
                   int MaxInstances, time_point Now) -> void;

  /// Runs due timers, fills free slots and returns the pending actions.
  auto takeActions(time_point Now) -> dispatch_actions;
  auto takeCrashReports() -> std::vector<crash_report>;
  auto nextWake() const -> std::optional<time_point>;
  auto idle() const -> bool;

private:
  auto attemptId(attempt_number Number) const -> attempt_id;
  auto attemptNumber(const attempt_id &Id) const -> attempt_number;
  auto setWake(request_state &Request, time_point Wake) -> void;

  auto enqueue(request_state &Request, time_point Now) -> void;
  auto requiredTime(const request_state &Request) const -> microseconds;
  auto fillSlots(time_point Now) -> void;
  auto startQueued(request_number Number, time_point Now) -> bool;
  auto start(request_state &Request, std::size_t Target, time_point Now)
      -> void;

  auto probe(request_state &Request, time_point Now) -> void;
  auto mayHedge(const request_state &Request) const -> bool;

  auto releaseSlot(attempt_number Number, const attempt_state &Attempt) -> void;
  auto recordOutcome(const attempt_state &Attempt, const request_state *Request,
                     const attempt_result &Result, time_point Now) -> void;
  auto applyResult(request_state &Request, const attempt_state &Attempt,
                   const attempt_result &Result, time_point Now) -> void;
  auto mayRetry(request_state &Request, attempt_outcome Outcome, time_point Now)
      -> bool;
  auto recordCrash(const attempt_state &Attempt, attempt_outcome Outcome,
                   time_point Now) -> void;

  auto runTimers(time_point Now) -> void;
  auto onRequestTimer(request_state &Request, time_point Now) -> void;
  auto onLate(request_state &Request, time_point Now) -> void;
  auto hedge(request_state &Request, std::size_t Current, time_point Now)
      -> bool;
  auto expire(request_state &Request, time_point Now) -> void;
  auto abandon(request_state &Request, time_point Now) -> void;
  auto abandonUnservable(time_point Now) -> void;
  auto settle(request_state &Request, time_point Now) -> void;
  auto cancelAttempts(const request_state &Request, time_point Now) -> void;

  dispatcher_settings Settings;
  std::string AttemptPrefix;
  replica_pool Pool;
  fair_queue Queue;
  extra_attempt_budget Budget;
  attempt_number LastAttempt;
  request_number LastRequest = 0;
  int SuspectsInFlight = 0;
  crash_history RecentCrashes;
  std::unordered_map<contract_id, contract_stats> Stats;
  std::unordered_map<request_number, request_state> Requests;
  std::unordered_map<request_key, request_number, request_key_hash> NumberByKey;
  std::unordered_map<attempt_number, attempt_state> Attempts;
  std::set<std::pair<time_point, request_number>> RequestTimers;
  std::set<std::pair<time_point, attempt_number>> SlotReleaseTimers;
  std::optional<time_point> PoolWake; ///< when a target may become available
  std::vector<crash_report> Crashes;
  dispatch_actions Actions;
};

} // namespace tarragon::admission::internal
