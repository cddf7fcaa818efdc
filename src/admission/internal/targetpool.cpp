#include "admission/internal/targetpool.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

auto holds(const target_state &Target, const subrequest &Request) -> bool {
  if (Target.Held.empty())
    return true;
  const held_version Wanted{Request.Version, Request.ShardCount};
  return std::find(Target.Held.begin(), Target.Held.end(), Wanted) !=
         Target.Held.end();
}

} // namespace

target_pool::target_pool(const target_limits &Limits,
                         const replica_group &Group, const int MostInstances,
                         const dispatcher_role Role)
    : Limits(Limits), MostInstances(MostInstances), Role(Role) {
  reconfigure(Limits, Group, MostInstances);
}

auto target_pool::reconfigure(const target_limits &NewLimits,
                              const replica_group &Group,
                              const int NewMostInstances) -> void {
  Limits = NewLimits;
  MostInstances = std::max(1, NewMostInstances);
  for (target_state &Known : Targets)
    Known.Listed = false;
  for (const target &Target : Group.Targets) {
    const auto Known =
        std::find_if(Targets.begin(), Targets.end(),
                     [&](const auto &T) { return T.Target.Id == Target.Id; });
    if (Known == Targets.end()) {
      Targets.push_back({.Target = Target});
      continue;
    }
    Known->Target = Target;
    Known->Listed = true;
  }
}

auto target_pool::setRole(const dispatcher_role NewRole) -> void {
  Role = NewRole;
}

auto target_pool::onSign(const target_id &Id, const target_sign Sign) -> void {
  for (target_state &Target : Targets)
    if (Target.Target.Id == Id)
      Target.Leaving = Sign == target_sign::Leaving;
}

auto target_pool::limit() const -> int {
  const int Share = std::max(1, Limits.Connections / MostInstances);
  switch (Role) {
  case dispatcher_role::Owner:
    return std::min(Limits.Slots, Share);
  case dispatcher_role::Guest:
    return std::min(Share, std::max(1, Limits.Slots / MostInstances));
  }
  return 1;
}

auto target_pool::suits(const target_state &Target, const std::size_t Position,
                        const request_state &Request) const -> bool {
  return Target.Listed && !Target.Leaving && holds(Target, Request.Request) &&
         std::find(Request.Tried.begin(), Request.Tried.end(), Position) ==
             Request.Tried.end();
}

auto target_pool::choose(const request_state &Request, time_point) const
    -> std::optional<std::size_t> {
  std::optional<std::size_t> Best;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    const target_state &Target = Targets[Position];
    if (Target.InFlight >= limit() || !suits(Target, Position, Request))
      continue;
    if (!Best || Target.InFlight < Targets[*Best].InFlight)
      Best = Position;
  }
  return Best;
}

auto target_pool::anyFor(const request_state &Request) const -> bool {
  for (std::size_t Position = 0; Position < Targets.size(); ++Position)
    if (suits(Targets[Position], Position, Request))
      return true;
  return false;
}

auto target_pool::onStart(const std::size_t Position) -> void {
  ++Targets[Position].InFlight;
}

auto target_pool::onEnd(const std::size_t Position) -> void {
  --Targets[Position].InFlight;
}

auto target_pool::learnHeld(const std::size_t Position,
                            const std::vector<held_version> &Held,
                            const subrequest &Request,
                            const attempt_outcome Outcome) -> void {
  target_state &Target = Targets[Position];
  if (!Held.empty()) {
    Target.Held = Held;
    return;
  }
  if (Outcome == attempt_outcome::WrongVersion)
    std::erase(Target.Held, held_version{Request.Version, Request.ShardCount});
}

} // namespace tarragon::admission::internal
