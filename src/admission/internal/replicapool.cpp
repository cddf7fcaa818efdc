#include "admission/internal/replicapool.h"

#include "global/hash.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

constexpr milliseconds ProbeInterval{500};
/// An unhedged probe sends a request only to an ejected or slow target, so it
/// becomes due this much later than a probe beside an ordinary attempt.
constexpr milliseconds UnhedgedProbeDelay{2000};
/// Maximum time for which the list may still show a draining target as live.
constexpr milliseconds ListLag{5000};
constexpr milliseconds HeldVersionsLifetime{2000};
/// Targets that shed an attempt receive no hedge for this time.
constexpr milliseconds HedgePauseAfterShed{500};
constexpr std::size_t SampledTargets = 2;
/// Scores whose ratio is at least this count as equal.
constexpr double EqualScoreRatio = 0.8;

/// Returns whether the target may hold the requested version. A version newer
/// than all that the target listed may have been loaded since.
auto holds(const target_record &Target, const subrequest &Request,
           const time_point Now) -> bool {
  const held_version Requested{Request.Version, Request.ShardCount};
  if (std::any_of(Target.MissingVersions.begin(), Target.MissingVersions.end(),
                  [&](const missing_version &Missing) {
                    return Missing.Version == Requested && Now < Missing.Until;
                  }))
    return false;
  if (Now >= Target.HeldReportedAt + HeldVersionsLifetime)
    return true;
  return std::all_of(Target.Held.begin(), Target.Held.end(),
                     [&](const held_version &Held) {
                       return Held.Version < Requested.Version;
                     }) ||
         std::find(Target.Held.begin(), Target.Held.end(), Requested) !=
             Target.Held.end();
}

} // namespace

replica_pool::replica_pool(const target_limits &Limits,
                           const replica_group &Group,
                           const dispatcher_settings &Settings,
                           const dispatcher_role Role)
    : Limits(Limits), Role(Role), Domain(Settings.Domain),
      Random(hash64(Group.Id + Settings.Instance, Settings.Seed)) {
  reconfigure(Limits, Group, Settings.MaxInstances);
}

auto replica_pool::reconfigure(const target_limits &NewLimits,
                               const replica_group &Group,
                               const int NewMaxInstances) -> void {
  Limits = NewLimits;
  MaxInstances = std::max(1, NewMaxInstances);
  const bool First = Targets.empty();
  for (target_record &Existing : Targets)
    Existing.Configured = false;
  for (const auto &Target : Group.Targets) {
    const auto Existing =
        std::find_if(Targets.begin(), Targets.end(),
                     [&](const auto &T) { return T.Target.Id == Target.Id; });
    if (Existing == Targets.end()) {
      Targets.push_back({.Target = Target});
      if (!First)
        Targets.back().Ejection.beginSlowStart();
      continue;
    }
    Existing->Target = Target;
    Existing->Configured = true;
  }
  setRole(Role);
}

auto replica_pool::setRole(const dispatcher_role NewRole) -> void {
  Role = NewRole;
  const int Share = std::max(1, Limits.Connections / MaxInstances);
  switch (Role) {
  case dispatcher_role::Owner:
    RoleLimit = std::min(Limits.Slots, Share);
    break;
  case dispatcher_role::NonOwner:
    RoleLimit = std::min(Share, std::max(1, Limits.Slots / MaxInstances));
    break;
  }
}

auto replica_pool::onAnnouncement(const target_id &Id,
                                  const target_announcement Announcement,
                                  const time_point Now) -> void {
  const auto Found =
      std::find_if(Targets.begin(), Targets.end(),
                   [&](const auto &T) { return T.Target.Id == Id; });
  if (Found == Targets.end())
    return;
  switch (Announcement) {
  case target_announcement::Leaving:
    Found->Leaving = true;
    Found->ReturnAt.reset();
    return;
  case target_announcement::Returned:
    if (Found->Leaving && !Found->ReturnAt)
      Found->ReturnAt = std::max(Now, Found->LeavingReportedAt + ListLag);
    restoreReturned(Now);
    return;
  }
}

auto replica_pool::restoreReturned(const time_point Now) -> void {
  for (target_record &Target : Targets) {
    if (!Target.ReturnAt || Now < *Target.ReturnAt)
      continue;
    target_record Restored{.Target = Target.Target,
                           .Configured = Target.Configured};
    Restored.InFlight = Target.InFlight;
    Restored.SuspectsInFlight = Target.SuspectsInFlight;
    Restored.Ejection.beginSlowStart();
    Target = std::move(Restored);
  }
}

auto replica_pool::choose(const request_state &Request,
                          const std::size_t Waiting, const time_point Now)
    -> std::optional<std::size_t> {
  if (const auto Probed = probe(Request, UnhedgedProbeDelay, Now))
    return Probed;
  std::vector<std::size_t> Healthy;
  std::vector<std::size_t> Slow;
  bool HealthyExists = false;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    const target_record &Target = Targets[Position];
    if (!isEligible(Position, Request, Now) || isExcluded(Target))
      continue;
    const bool IsSlow = isSlow(Position);
    HealthyExists = HealthyExists || !IsSlow;
    if (hasFreeSlot(Target, Now))
      (IsSlow ? Slow : Healthy).push_back(Position);
  }
  if (!Healthy.empty())
    return pickBest(Healthy, Request.Request.Suspect);
  if (HealthyExists)
    std::erase_if(Slow, [&](const std::size_t Position) {
      return !slowBeatsWaiting(Position, Waiting);
    });
  return pickBest(Slow, Request.Request.Suspect);
}

auto replica_pool::chooseHedge(const request_state &Request,
                               const std::size_t Current, const time_point Now)
    -> std::optional<std::size_t> {
  std::vector<std::size_t> SameDomain;
  std::vector<std::size_t> OtherDomain;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    const target_record &Target = Targets[Position];
    if (Position == Current || !isEligible(Position, Request, Now) ||
        isSlow(Position) || Target.Ejection.ejected() ||
        !hasFreeSlot(Target, Now))
      continue;
    if (Target.ShedAt != time_point{} &&
        Now < Target.ShedAt + HedgePauseAfterShed)
      continue;
    const bool InOtherDomain = Target.Target.Domain != targetAt(Current).Domain;
    (InOtherDomain ? OtherDomain : SameDomain).push_back(Position);
  }
  return pickBest(OtherDomain.empty() ? SameDomain : OtherDomain, false);
}

auto replica_pool::chooseProbe(const request_state &Request,
                               const time_point Now)
    -> std::optional<std::size_t> {
  return probe(Request, milliseconds{0}, Now);
}

auto replica_pool::probe(const request_state &Request,
                         const milliseconds ExtraDelay, const time_point Now)
    -> std::optional<std::size_t> {
  if (Request.Request.Suspect)
    return std::nullopt;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    target_record &Target = Targets[Position];
    if (Target.InFlight > 0 || !isEligible(Position, Request, Now) ||
        !hasFreeSlot(Target, Now))
      continue;
    const bool Excluded = isExcluded(Target);
    if (!Excluded && !isSlow(Position))
      continue;
    const time_point NextProbe = Target.ProbedAt + ProbeInterval;
    if (Now < ExtraDelay + (Excluded
                                ? std::max(NextProbe, Target.Ejection.probeAt())
                                : NextProbe))
      continue;
    Target.ProbedAt = Now;
    return Position;
  }
  return std::nullopt;
}

auto replica_pool::pickBest(std::vector<std::size_t> &Candidates,
                            const bool Suspect) -> std::optional<std::size_t> {
  if (Candidates.empty())
    return std::nullopt;
  if (Suspect)
    return *std::min_element(Candidates.begin(), Candidates.end(),
                             [&](const std::size_t A, const std::size_t B) {
                               return Targets[A].InFlight < Targets[B].InFlight;
                             });
  const std::size_t Sampled = std::min(SampledTargets, Candidates.size());
  const microseconds Best = bestLatency();
  for (std::size_t Drawn = 0; Drawn < Sampled; ++Drawn)
    std::swap(Candidates[Drawn],
              Candidates[Drawn + Random.below(Candidates.size() - Drawn)]);
  std::size_t Winner = Candidates[0];
  for (std::size_t Drawn = 1; Drawn < Sampled; ++Drawn)
    if (isBetter(Candidates[Drawn], Winner, Best))
      Winner = Candidates[Drawn];
  return Winner;
}

auto replica_pool::isBetter(const std::size_t A, const std::size_t B,
                            const microseconds Best) const -> bool {
  const double ScoreA = score(Targets[A], Best);
  const double ScoreB = score(Targets[B], Best);
  if (std::min(ScoreA, ScoreB) < EqualScoreRatio * std::max(ScoreA, ScoreB))
    return ScoreA < ScoreB;
  return targetAt(A).Domain == Domain && targetAt(B).Domain != Domain;
}

auto replica_pool::score(const target_record &Target,
                         const microseconds Best) const -> double {
  const microseconds Latency = std::max(Target.Latency, Best);
  const double Load = 1 + Target.InFlight + 4 * Target.SuspectsInFlight;
  return (static_cast<double>(Latency.count()) + 1) * Load *
         (1 + Target.Ejection.failureScore());
}

auto replica_pool::isEligible(const std::size_t Position,
                              const request_state &Request,
                              const time_point Now) const -> bool {
  const target_record &Target = Targets[Position];
  return inService(Target) && holds(Target, Request.Request, Now) &&
         !std::binary_search(Request.Tried.begin(), Request.Tried.end(),
                             Position);
}

auto replica_pool::canServe(const request_state &Request,
                            const time_point Now) const -> bool {
  for (std::size_t Position = 0; Position < Targets.size(); ++Position)
    if (isEligible(Position, Request, Now))
      return true;
  return false;
}

auto replica_pool::refusalFor(const request_state &Request,
                              const time_point Now) const
    -> std::pair<attempt_outcome, std::optional<std::size_t>> {
  for (std::size_t Position = 0; Position < Targets.size(); ++Position)
    if (inService(Targets[Position]) &&
        !holds(Targets[Position], Request.Request, Now))
      return {attempt_outcome::WrongVersion, Position};
  for (std::size_t Position = 0; Position < Targets.size(); ++Position)
    if (Targets[Position].Configured && Targets[Position].Leaving)
      return {attempt_outcome::Leaving, Position};
  return {attempt_outcome::NotRun, std::nullopt};
}

auto replica_pool::anyFreeSlot(const time_point Now) const -> bool {
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto &Target) {
    return inService(Target) && hasFreeSlot(Target, Now);
  });
}

auto replica_pool::healthySlots() const -> int {
  int Sum = 0;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    const target_record &Target = Targets[Position];
    if (inService(Target) && !isExcluded(Target) && !isSlow(Position))
      Sum += limit(Target);
  }
  return std::max(1, Sum);
}

auto replica_pool::limit(const target_record &Target) const -> int {
  const double DynamicLimit =
      std::min(Target.ShedLimit, Target.Ejection.slowStartLimit());
  if (DynamicLimit >= RoleLimit)
    return RoleLimit;
  return std::max(1, static_cast<int>(DynamicLimit));
}

auto replica_pool::hasFreeSlot(const target_record &Target,
                               const time_point Now) const -> bool {
  return Target.InFlight < limit(Target) && Now >= Target.PausedUntil;
}

auto replica_pool::nextAvailabilityChange(const time_point Now) const
    -> std::optional<time_point> {
  std::optional<time_point> Next;
  const auto Consider = [&](const time_point At) {
    if (At > Now && (!Next || At < *Next))
      Next = At;
  };
  for (const target_record &Target : Targets) {
    if (Target.ReturnAt)
      Consider(*Target.ReturnAt);
    if (!inService(Target))
      continue;
    Consider(Target.PausedUntil);
    if (Target.Ejection.ejected())
      Consider(Target.Ejection.probeAt());
  }
  return Next;
}

auto replica_pool::inServiceCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(),
                    [&](const auto &Target) { return inService(Target); }));
}

auto replica_pool::ejectedCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(), [&](const auto &Target) {
        return inService(Target) && Target.Ejection.ejected();
      }));
}

auto replica_pool::mayEject(const target_record &Target) const -> bool {
  const std::size_t Others =
      ejectedCount() - (Target.Ejection.ejected() && inService(Target) ? 1 : 0);
  return (Others + 1) * 2 <= inServiceCount();
}

auto replica_pool::isExcluded(const target_record &Target) const -> bool {
  return Target.Ejection.ejected() && ejectedCount() * 2 <= inServiceCount();
}

auto replica_pool::onStart(const std::size_t Position, const bool Suspect)
    -> void {
  ++Targets[Position].InFlight;
  Targets[Position].SuspectsInFlight += Suspect ? 1 : 0;
}

auto replica_pool::onEnd(const std::size_t Position, const bool Suspect)
    -> void {
  --Targets[Position].InFlight;
  Targets[Position].SuspectsInFlight -= Suspect ? 1 : 0;
}

} // namespace tarragon::admission::internal
