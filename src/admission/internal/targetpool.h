#pragma once

#include "admission/internal/requeststate.h"
#include "admission/internal/targetstate.h"
#include "admission/types/dispatcherrole.h"
#include "admission/types/targetsign.h"
#include "world/types/service.h"

#include <optional>

namespace tarragon::admission::internal {

/// The targets of a replica group: who may take an attempt, and who is best.
/// Positions of targets stay valid for the pool's life.
class target_pool {
public:
  target_pool(const target_limits &Limits, const replica_group &Group,
              int MostInstances, dispatcher_role Role);

  auto reconfigure(const target_limits &Limits, const replica_group &Group,
                   int MostInstances) -> void;
  auto setRole(dispatcher_role Role) -> void;
  auto onSign(const target_id &Id, target_sign Sign) -> void;

  /// The best target that may take an attempt of \p Request now.
  auto choose(const request_state &Request, time_point Now) const
      -> std::optional<std::size_t>;

  /// Whether any target, free or not, could still take \p Request.
  auto anyFor(const request_state &Request) const -> bool;

  auto onStart(std::size_t Position) -> void;
  auto onEnd(std::size_t Position) -> void;
  auto learnHeld(std::size_t Position, const std::vector<held_version> &Held,
                 const subrequest &Request, attempt_outcome Outcome) -> void;

  /// Most attempts in flight at one target.
  auto limit() const -> int;

  auto at(const std::size_t Position) -> target_state & {
    return Targets[Position];
  }

private:
  auto suits(const target_state &Target, std::size_t Position,
             const request_state &Request) const -> bool;

  target_limits Limits;
  int MostInstances;
  dispatcher_role Role;
  std::vector<target_state> Targets;
};

} // namespace tarragon::admission::internal
