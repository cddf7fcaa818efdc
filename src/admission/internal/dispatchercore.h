#pragma once

#include "admission/internal/attemptstate.h"
#include "admission/internal/crashmemory.h"
#include "admission/internal/fairqueue.h"
#include "admission/internal/hedgebudget.h"
#include "admission/internal/requestkey.h"
#include "admission/internal/targetpool.h"
#include "admission/types/attemptresult.h"
#include "admission/types/crashreport.h"
#include "admission/types/dispatchaction.h"

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
  auto takeCrashes() -> std::vector<crash_report>;
  auto nextWake() const -> std::optional<time_point>;
  auto idle() const -> bool;

private:
  auto attemptId(attempt_number Number) const -> attempt_id;
  auto attemptNumber(const attempt_id &Id) const -> attempt_number;
  auto setWake(request_state &Request, time_point Wake) -> void;

  auto enqueue(request_state &Request, time_point Now) -> void;
  auto needed(const request_state &Request) const -> microseconds;
  auto fillSlots(time_point Now) -> void;
  auto startWaiting(request_number Number, time_point Now) -> bool;
  auto start(request_state &Request, std::size_t Target, time_point Now)
      -> void;

  auto probe(request_state &Request, time_point Now) -> void;
  auto mayHedge(const request_state &Request) const -> bool;

  auto releaseSlot(attempt_number Number, const attempt_state &Attempt) -> void;
  auto learn(const attempt_state &Attempt, const request_state *Request,
             const attempt_result &Result, time_point Now) -> void;
  auto takeResult(request_state &Request, const attempt_state &Attempt,
                  const attempt_result &Result, time_point Now) -> void;
  auto mayRetry(request_state &Request, attempt_outcome Outcome, time_point Now)
      -> bool;
  auto noteCrash(const attempt_state &Attempt, attempt_outcome Outcome,
                 time_point Now) -> void;

  auto runTimers(time_point Now) -> void;
  auto onRequestTimer(request_state &Request, time_point Now) -> void;
  auto onLate(request_state &Request, time_point Now) -> void;
  auto hedge(request_state &Request, std::size_t Present, time_point Now)
      -> bool;
  auto expire(request_state &Request, time_point Now) -> void;
  auto giveUp(request_state &Request, time_point Now) -> void;
  auto giveUpUnservable(time_point Now) -> void;
  auto settle(request_state &Request, time_point Now) -> void;
  auto cancelAttempts(const request_state &Request, time_point Now) -> void;

  dispatcher_settings Settings;
  std::string AttemptPrefix;
  target_pool Pool;
  fair_queue Queue;
  hedge_budget Budget;
  attempt_number LastAttempt;
  request_number LastRequest = 0;
  int SuspectsInFlight = 0;
  crash_memory CrashedLately;
  std::unordered_map<contract_id, contract_stats> Stats;
  std::unordered_map<request_number, request_state> Requests;
  std::unordered_map<request_key, request_number, request_key_hash> Known;
  std::unordered_map<attempt_number, attempt_state> Attempts;
  std::set<std::pair<time_point, request_number>> RequestTimers;
  std::set<std::pair<time_point, attempt_number>> GiveUpTimers;
  std::optional<time_point> PoolWake; ///< when a target may become free
  std::vector<crash_report> Crashes;
  dispatch_actions Actions;
};

} // namespace tarragon::admission::internal
