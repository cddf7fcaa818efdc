#pragma once

#include "admission/internal/attemptstate.h"
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
              const dispatcher_settings &Settings, dispatcher_role Role);

  auto reconfigure(const target_limits &Limits, const replica_group &Group,
                   int MostInstances) -> void;
  auto setRole(dispatcher_role Role) -> void;
  auto onSign(const target_id &Id, target_sign Sign, time_point Now) -> void;

  /// Takes back targets whose return was told and is in force by now.
  auto takeReturned(time_point Now) -> void;

  /// The best target that may take an attempt of \p Request now, while
  /// \p Waiting requests want slots.
  auto choose(const request_state &Request, std::size_t Waiting, time_point Now)
      -> std::optional<std::size_t>;

  /// An ejected or slow target that is due for a probe by a second attempt of
  /// \p Request.
  auto chooseProbe(const request_state &Request, time_point Now)
      -> std::optional<std::size_t>;

  /// The best target for a hedge of \p Request beside the one at \p Present.
  auto chooseHedge(const request_state &Request, std::size_t Present,
                   time_point Now) -> std::optional<std::size_t>;

  /// Whether any target, free or not, could still take \p Request.
  auto anyFor(const request_state &Request, time_point Now) const -> bool;

  /// Whether so few targets crashed lately that another crash would leave
  /// one to serve.
  auto sparesOne(time_point Now) const -> bool;

  /// Who is to blame for the crash that just ended attempts at the target.
  auto blame(std::size_t Position) const -> crash_blame {
    return Targets[Position].Blame;
  }

  /// Whether any target has a free slot.
  auto anyFree(time_point Now) const -> bool;

  /// Slots of all targets in use, at least 1.
  auto slots() const -> int;

  /// The next moment after \p Now at which a target may become free by time.
  auto nextChange(time_point Now) const -> std::optional<time_point>;

  auto onStart(std::size_t Position, bool Suspect) -> void;
  auto onEnd(std::size_t Position, bool Suspect) -> void;

  /// Learns from an attempt that ended or was given up at its deadline.
  auto onResult(const attempt_state &Attempt, attempt_outcome Outcome,
                time_point Now) -> void;

  /// An attempt takes longer than nearly all others do.
  auto onLate(std::size_t Position, microseconds Elapsed, time_point Now)
      -> void;

  auto learnHeld(std::size_t Position, const std::vector<held_version> &Held,
                 const subrequest &Request, attempt_outcome Outcome,
                 time_point Now) -> void;

  /// Why no target may take \p Request, and which target says so.
  auto refusalOf(const request_state &Request, time_point Now) const
      -> std::pair<attempt_outcome, std::optional<std::size_t>>;

  /// What the target is known to hold; empty when it did not tell.
  auto heldBy(const std::size_t Position) const
      -> const std::vector<held_version> & {
    return Targets[Position].Held;
  }

  /// Whether the target is much slower than the best of the others.
  auto slow(std::size_t Position) const -> bool;

  auto targetAt(const std::size_t Position) const -> const target & {
    return Targets[Position].Target;
  }
  auto count() const -> std::size_t { return Targets.size(); }

private:
  auto inUse(const target_state &Target) const -> bool {
    return Target.Listed && !Target.Leaving;
  }
  auto suits(std::size_t Position, const request_state &Request,
             time_point Now) const -> bool;
  auto limit(const target_state &Target) const -> int;
  auto free(const target_state &Target, time_point Now) const -> bool;
  auto barred(const target_state &Target) const -> bool;
  auto ejectedCount() const -> std::size_t;
  auto usedCount() const -> std::size_t;
  auto mayEject(const target_state &Target) const -> bool;
  auto bestLatency() const -> microseconds;
  auto score(const target_state &Target, microseconds Best) const -> double;
  auto better(std::size_t A, std::size_t B, microseconds Best) const -> bool;
  auto bestOf(std::vector<std::size_t> &Candidates, bool Suspect)
      -> std::optional<std::size_t>;
  auto probe(const request_state &Request, milliseconds Later, time_point Now)
      -> std::optional<std::size_t>;
  auto worthSlow(std::size_t Position, std::size_t Waiting) const -> bool;
  auto learnLatency(target_state &Target, microseconds Sample, time_point Now)
      -> void;
  auto onCrash(target_state &Target, bool Suspect, time_point Now) -> void;
  auto onShed(target_state &Target, time_point Now) -> void;

  target_limits Limits;
  int MostInstances = 1;
  int RoleLimit = 1;
  dispatcher_role Role;
  failure_domain Domain;
  random_source Random;
  std::vector<target_state> Targets;
};

} // namespace tarragon::admission::internal
