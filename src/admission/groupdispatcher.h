#pragma once

#include "admission/types/attemptresult.h"
#include "admission/types/crashreport.h"
#include "admission/types/dispatchaction.h"
#include "admission/types/dispatcherrole.h"
#include "admission/types/targetannouncement.h"
#include "world/types/service.h"

#include <memory>
#include <optional>
#include <vector>

namespace tarragon::admission {

namespace internal {
class dispatcher_core;
} // namespace internal

/// Admission control for the targets of one replica group: queueing, slots,
/// replica selection, hedges, retries and ejection.
///
/// Performs no I/O and reads no clock: each call returns the actions that the
/// code around the dispatcher carries out. Not thread-safe.
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
  auto cancel(const subrequest_id &Id, const instance_id &Coordinator,
              time_point Now) -> dispatch_actions;
  auto onTargetAnnouncement(const target_id &Target,
                            target_announcement Announcement, time_point Now)
      -> dispatch_actions;
  auto setRole(dispatcher_role Role, time_point Now) -> dispatch_actions;

  /// Applies a changed configuration. Removed targets receive no new attempts.
  auto reconfigure(const service &Service, const replica_group &Group,
                   int MaxInstances, time_point Now) -> dispatch_actions;

  /// Runs the timers that are due at \p Now.
  auto onTimer(time_point Now) -> dispatch_actions;

  /// Returns when onTimer() must be called next, or nothing if no timer is set.
  auto nextWake() const -> std::optional<time_point>;

  /// Returns the crashes observed since the last call, including those of
  /// attempts whose subrequests were already settled. Unlike settlements, the
  /// reports state whether the request ran isolated: as a suspect, or alone at
  /// the target.
  auto takeCrashReports() -> std::vector<crash_report>;

  /// Returns whether no request is queued or in flight.
  auto idle() const -> bool;

private:
  std::unique_ptr<internal::dispatcher_core> Core;
};

} // namespace tarragon::admission
