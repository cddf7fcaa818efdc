#include "admission/groupdispatcher.h"

#include "admission/internal/dispatchercore.h"

namespace tarragon::admission {

group_dispatcher::group_dispatcher(const service &Service,
                                   const replica_group &Group,
                                   dispatcher_settings Settings,
                                   const dispatcher_role Role)
    : Core(std::make_unique<internal::dispatcher_core>(
          Service, Group, std::move(Settings), Role)) {}

group_dispatcher::~group_dispatcher() = default;
group_dispatcher::group_dispatcher(group_dispatcher &&) noexcept = default;
auto group_dispatcher::operator=(group_dispatcher &&) noexcept
    -> group_dispatcher & = default;

auto group_dispatcher::submit(subrequest Request, const time_point Now)
    -> dispatch_actions {
  Core->submit(std::move(Request), Now);
  return Core->takeActions(Now);
}

auto group_dispatcher::onAttemptDone(const attempt_result &Result,
                                     const time_point Now) -> dispatch_actions {
  Core->onAttemptDone(Result, Now);
  return Core->takeActions(Now);
}

auto group_dispatcher::cancel(const subrequest_id &Id,
                              const instance_id &Coordinator,
                              const time_point Now) -> dispatch_actions {
  Core->cancel(Id, Coordinator, Now);
  return Core->takeActions(Now);
}

auto group_dispatcher::onTargetAnnouncement(
    const target_id &Target, const target_announcement Announcement,
    const time_point Now) -> dispatch_actions {
  Core->onTargetAnnouncement(Target, Announcement, Now);
  return Core->takeActions(Now);
}

auto group_dispatcher::setRole(const dispatcher_role Role, const time_point Now)
    -> dispatch_actions {
  Core->setRole(Role);
  return Core->takeActions(Now);
}

auto group_dispatcher::reconfigure(const service &Service,
                                   const replica_group &Group,
                                   const int MaxInstances, const time_point Now)
    -> dispatch_actions {
  Core->reconfigure(Service, Group, MaxInstances, Now);
  return Core->takeActions(Now);
}

auto group_dispatcher::onTimer(const time_point Now) -> dispatch_actions {
  return Core->takeActions(Now);
}

auto group_dispatcher::nextWake() const -> std::optional<time_point> {
  return Core->nextWake();
}

auto group_dispatcher::takeCrashReports() -> std::vector<crash_report> {
  return Core->takeCrashReports();
}

auto group_dispatcher::idle() const -> bool { return Core->idle(); }

} // namespace tarragon::admission
