#pragma once

#include "admission/internal/attemptstate.h"
#include "admission/internal/targetrecord.h"
#include "admission/types/dispatcherrole.h"
#include "admission/types/targetannouncement.h"
#include "world/types/service.h"

#include <optional>

namespace tarragon::admission::internal {

/// The targets of a replica group. Selects the target for each attempt from the
/// targets' capacity, health and latency. The position of a target stays valid
/// during the lifetime of the pool.
class replica_pool {
public:
  replica_pool(const target_limits &Limits, const replica_group &Group,
               const dispatcher_settings &Settings, dispatcher_role Role);

  auto reconfigure(const target_limits &Limits, const replica_group &Group,
                   int MaxInstances) -> void;
  auto setRole(dispatcher_role Role) -> void;
  auto onAnnouncement(const target_id &Id, target_announcement Announcement,
                      time_point Now) -> void;

  /// Restores targets whose announced return has taken effect by \p Now.
  auto restoreReturned(time_point Now) -> void;

  /// Returns the best target for an attempt of \p Request at \p Now, while
  /// \p Waiting requests wait for slots.
  auto choose(const request_state &Request, std::size_t Waiting, time_point Now)
      -> std::optional<std::size_t>;

  /// Returns an ejected or slow target that is due for a probe, which a second
  /// attempt of \p Request can serve as.
  auto chooseProbe(const request_state &Request, time_point Now)
      -> std::optional<std::size_t>;

  /// Returns the best target for a hedge of \p Request, whose attempt in flight
  /// is at the target at \p Current.
  auto chooseHedge(const request_state &Request, std::size_t Current,
                   time_point Now) -> std::optional<std::size_t>;

  /// Returns whether any target, with a free slot or not, is eligible for
  /// \p Request.
  auto canServe(const request_state &Request, time_point Now) const -> bool;

  /// Returns whether no target crashed recently, or at least one target would
  /// remain in service after another crash.
  auto toleratesAnotherCrash(time_point Now) const -> bool;

  /// Returns which requests the last crash of the target is attributed to.
  auto crashAttribution(std::size_t Position) const -> crash_attribution {
    return Targets[Position].Attribution;
  }

  /// Returns whether any target has a free slot.
  auto anyFreeSlot(time_point Now) const -> bool;

  /// Returns the sum of the current attempt limits of all targets in service
  /// that are neither excluded nor slow, at least 1.
  auto healthySlots() const -> int;

  /// Returns the next time after \p Now at which a target may become available
  /// without the end of an attempt.
  auto nextAvailabilityChange(time_point Now) const
      -> std::optional<time_point>;

  auto onStart(std::size_t Position, bool Suspect) -> void;
  auto onEnd(std::size_t Position, bool Suspect) -> void;

  /// Updates the state of the target from an attempt that ended or was
  /// abandoned at its deadline.
  auto onResult(const attempt_state &Attempt, attempt_outcome Outcome,
                time_point Now) -> void;

  /// Records an attempt that is still in flight after the late threshold.
  auto onLate(std::size_t Position, microseconds Elapsed, time_point Now)
      -> void;

  /// Records the versions that the target sent, and the version that it refused
  /// as missing.
  auto recordHeldVersions(std::size_t Position,
                          const std::vector<held_version> &Held,
                          const subrequest &Request, attempt_outcome Outcome,
                          time_point Now) -> void;

  /// Returns why no target is eligible for \p Request, and the position of a
  /// target with that reason, if any.
  auto refusalFor(const request_state &Request, time_point Now) const
      -> std::pair<attempt_outcome, std::optional<std::size_t>>;

  /// Returns the versions that the target holds; empty if it sent no list.
  auto heldVersions(const std::size_t Position) const
      -> const std::vector<held_version> & {
    return Targets[Position].Held;
  }

  /// Returns whether the target is much slower than the best one, or late much
  /// more often than another.
  auto isSlow(std::size_t Position) const -> bool;

  auto targetAt(const std::size_t Position) const -> const target & {
    return Targets[Position].Target;
  }
  auto count() const -> std::size_t { return Targets.size(); }

private:
  /// Returns whether the target is configured and not draining.
  auto inService(const target_record &Target) const -> bool {
    return Target.Configured && !Target.Leaving;
  }
  auto isEligible(std::size_t Position, const request_state &Request,
                  time_point Now) const -> bool;
  auto limit(const target_record &Target) const -> int;
  auto hasFreeSlot(const target_record &Target, time_point Now) const -> bool;

  /// Returns whether the target receives only probes. Ejections are ignored
  /// while more than half of the targets in service are ejected.
  auto isExcluded(const target_record &Target) const -> bool;
  auto ejectedCount() const -> std::size_t;
  auto inServiceCount() const -> std::size_t;
  auto mayEject(const target_record &Target) const -> bool;
  auto bestLatency() const -> microseconds;
  auto score(const target_record &Target, microseconds Best) const -> double;
  auto isBetter(std::size_t A, std::size_t B, microseconds Best) const -> bool;
  auto pickBest(std::vector<std::size_t> &Candidates, bool Suspect)
      -> std::optional<std::size_t>;
  auto probe(const request_state &Request, milliseconds ExtraDelay,
             time_point Now) -> std::optional<std::size_t>;
  auto slowBeatsWaiting(std::size_t Position, std::size_t Waiting) const
      -> bool;
  auto recordLatency(target_record &Target, microseconds Sample, time_point Now)
      -> void;
  auto onCrash(target_record &Target, bool Suspect, time_point Now) -> void;
  auto onShed(target_record &Target, time_point Now) -> void;

  target_limits Limits;
  int MaxInstances = 1;
  int RoleLimit = 1;
  dispatcher_role Role;
  failure_domain Domain;
  random_source Random;
  std::vector<target_record> Targets;
};

} // namespace tarragon::admission::internal
