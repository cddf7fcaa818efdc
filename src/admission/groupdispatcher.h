#pragma once

#include "admission/types/attemptresult.h"
#include "admission/types/crashreport.h"
#include "admission/types/dispatchaction.h"
#include "admission/types/dispatcherrole.h"
#include "admission/types/targetsign.h"
#include "world/types/service.h"

#include <memory>
#include <optional>
#include <vector>

namespace tarragon::admission {

namespace internal {
class dispatcher_core;
} // namespace internal

/// Admits subrequests to the targets of one replica group: queue, slots,
/// replica choice, hedges, retries, ejection. Pure; not locked.
class group_dispatcher {
public:
  group_dispatcher(const service &Service, const replica_group &Group,
                   dispatcher_settings Settings, dispatcher_role Role);
  ~group_dispatcher();
  group_dispatcher(group_dispatcher &&) noexcept;
  auto operator=(group_dispatcher &&) noexcept -> group_dispatcher &;

  auto submit(subrequest Request, time_point Now) -> dispatch_actions;
  auto onAttemptDone(const attempt_result &Result, time_point Now)
      -> dispatch_actions;
  auto cancel(const subrequest_id &Id, const instance_id &Root, time_point Now)
      -> dispatch_actions;
  auto onTargetSign(const target_id &Target, target_sign Sign, time_point Now)
      -> dispatch_actions;
  auto setRole(dispatcher_role Role, time_point Now) -> dispatch_actions;

  /// Takes a changed configuration; targets that are gone get no new work.
  auto reconfigure(const service &Service, const replica_group &Group,
                   int MostInstances, time_point Now) -> dispatch_actions;

  auto onTimer(time_point Now) -> dispatch_actions;
  auto nextWake() const -> std::optional<time_point>;

  /// Crashes seen since the last call, also of attempts whose subrequests were
  /// settled before. They tell better than settlements whether the request ran
  /// apart: as a suspect, or alone at the target.
  auto takeCrashes() -> std::vector<crash_report>;

  /// Whether nothing is queued or in flight.
  auto idle() const -> bool;

private:
  std::unique_ptr<internal::dispatcher_core> Core;
};

} // namespace tarragon::admission
