#include "admission/internal/targetpool.h"

#include "global/hash.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

constexpr milliseconds ProbeEvery{500};
/// Probes leave the request that carries them to a doubtful target.
constexpr milliseconds UnhedgedProbeDelay{2000};
/// A list may show a target live for so long after it began to leave.
constexpr milliseconds ListLag{5000};
constexpr milliseconds HeldMemory{2000};
constexpr milliseconds ShedMemory{500}; ///< no hedge for so long
constexpr std::size_t SampledTargets = 2;
constexpr double SameScore = 0.8; ///< scores this near count as equal

/// A version newer than all that the target told of may have come since.
auto holds(const target_state &Target, const subrequest &Request,
           const time_point Now) -> bool {
  const held_version Wanted{Request.Version, Request.ShardCount};
  if (std::any_of(Target.Lacks.begin(), Target.Lacks.end(),
                  [&](const lacked_version &Lacked) {
                    return Lacked.Version == Wanted && Now < Lacked.Until;
                  }))
    return false;
  if (Now >= Target.HeldAt + HeldMemory)
    return true;
  return std::all_of(Target.Held.begin(), Target.Held.end(),
                     [&](const held_version &Held) {
                       return Held.Version < Wanted.Version;
                     }) ||
         std::find(Target.Held.begin(), Target.Held.end(), Wanted) !=
             Target.Held.end();
}

} // namespace

target_pool::target_pool(const target_limits &Limits,
                         const replica_group &Group,
                         const dispatcher_settings &Settings,
                         const dispatcher_role Role)
    : Limits(Limits), Role(Role), Domain(Settings.Domain),
      Random(hash64(Group.Id + Settings.Instance, Settings.Seed)) {
  reconfigure(Limits, Group, Settings.MostInstances);
}

auto target_pool::reconfigure(const target_limits &NewLimits,
                              const replica_group &Group,
                              const int NewMostInstances) -> void {
  Limits = NewLimits;
  MostInstances = std::max(1, NewMostInstances);
  const bool First = Targets.empty();
  for (target_state &Known : Targets)
    Known.Listed = false;
  for (const auto &Target : Group.Targets) {
    const auto Known =
        std::find_if(Targets.begin(), Targets.end(),
                     [&](const auto &T) { return T.Target.Id == Target.Id; });
    if (Known == Targets.end()) {
      Targets.push_back({.Target = Target});
      if (!First)
        Targets.back().Health.restart();
      continue;
    }
    Known->Target = Target;
    Known->Listed = true;
  }
  setRole(Role);
}

auto target_pool::setRole(const dispatcher_role NewRole) -> void {
  Role = NewRole;
  const int Share = std::max(1, Limits.Connections / MostInstances);
  switch (Role) {
  case dispatcher_role::Owner:
    RoleLimit = std::min(Limits.Slots, Share);
    break;
  case dispatcher_role::Guest:
    RoleLimit = std::min(Share, std::max(1, Limits.Slots / MostInstances));
    break;
  }
}

auto target_pool::onSign(const target_id &Id, const target_sign Sign,
                         const time_point Now) -> void {
  const auto Found =
      std::find_if(Targets.begin(), Targets.end(),
                   [&](const auto &T) { return T.Target.Id == Id; });
  if (Found == Targets.end())
    return;
  switch (Sign) {
  case target_sign::Leaving:
    Found->Leaving = true;
    Found->ReturnAt.reset();
    return;
  case target_sign::Returned:
    if (Found->Leaving && !Found->ReturnAt)
      Found->ReturnAt = std::max(Now, Found->SaidLeaving + ListLag);
    takeReturned(Now);
    return;
  }
}

auto target_pool::takeReturned(const time_point Now) -> void {
  for (target_state &Target : Targets) {
    if (!Target.ReturnAt || Now < *Target.ReturnAt)
      continue;
    target_state Fresh{.Target = Target.Target, .Listed = Target.Listed};
    Fresh.InFlight = Target.InFlight;
    Fresh.SuspectsInFlight = Target.SuspectsInFlight;
    Fresh.Health.restart();
    Target = std::move(Fresh);
  }
}

auto target_pool::choose(const request_state &Request,
                         const std::size_t Waiting, const time_point Now)
    -> std::optional<std::size_t> {
  if (const auto Probed = probe(Request, UnhedgedProbeDelay, Now))
    return Probed;
  std::vector<std::size_t> Good;
  std::vector<std::size_t> Slow;
  bool GoodExists = false;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    const target_state &Target = Targets[Position];
    if (!suits(Position, Request, Now) || barred(Target))
      continue;
    const bool IsSlow = slow(Position);
    GoodExists = GoodExists || !IsSlow;
    if (free(Target, Now))
      (IsSlow ? Slow : Good).push_back(Position);
  }
  if (!Good.empty())
    return bestOf(Good, Request.Request.Suspect);
  if (GoodExists)
    std::erase_if(Slow, [&](const std::size_t Position) {
      return !worthSlow(Position, Waiting);
    });
  return bestOf(Slow, Request.Request.Suspect);
}

auto target_pool::chooseHedge(const request_state &Request,
                              const std::size_t Present, const time_point Now)
    -> std::optional<std::size_t> {
  std::vector<std::size_t> Near;
  std::vector<std::size_t> Far;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    const target_state &Target = Targets[Position];
    if (Position == Present || !suits(Position, Request, Now) ||
        slow(Position) || Target.Health.ejected() || !free(Target, Now))
      continue;
    if (Target.ShedAt != time_point{} && Now < Target.ShedAt + ShedMemory)
      continue;
    const bool Apart = Target.Target.Domain != targetAt(Present).Domain;
    (Apart ? Far : Near).push_back(Position);
  }
  return bestOf(Far.empty() ? Near : Far, false);
}

auto target_pool::chooseProbe(const request_state &Request,
                              const time_point Now)
    -> std::optional<std::size_t> {
  return probe(Request, milliseconds{0}, Now);
}

auto target_pool::probe(const request_state &Request, const milliseconds Later,
                        const time_point Now) -> std::optional<std::size_t> {
  if (Request.Request.Suspect)
    return std::nullopt;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    target_state &Target = Targets[Position];
    if (Target.InFlight > 0 || !suits(Position, Request, Now) ||
        !free(Target, Now))
      continue;
    const bool Barred = barred(Target);
    if (!Barred && !slow(Position))
      continue;
    const time_point NextProbe = Target.ProbedAt + ProbeEvery;
    if (Now < Later + (Barred ? std::max(NextProbe, Target.Health.probeAt())
                              : NextProbe))
      continue;
    Target.ProbedAt = Now;
    return Position;
  }
  return std::nullopt;
}

auto target_pool::bestOf(std::vector<std::size_t> &Candidates,
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
    if (better(Candidates[Drawn], Winner, Best))
      Winner = Candidates[Drawn];
  return Winner;
}

auto target_pool::better(const std::size_t A, const std::size_t B,
                         const microseconds Best) const -> bool {
  const double ScoreA = score(Targets[A], Best);
  const double ScoreB = score(Targets[B], Best);
  if (std::min(ScoreA, ScoreB) < SameScore * std::max(ScoreA, ScoreB))
    return ScoreA < ScoreB;
  return targetAt(A).Domain == Domain && targetAt(B).Domain != Domain;
}

auto target_pool::score(const target_state &Target,
                        const microseconds Best) const -> double {
  const microseconds Latency = std::max(Target.Latency, Best);
  const double Load = 1 + Target.InFlight + 4 * Target.SuspectsInFlight;
  return (static_cast<double>(Latency.count()) + 1) * Load *
         (1 + Target.Health.failures());
}

auto target_pool::suits(const std::size_t Position,
                        const request_state &Request,
                        const time_point Now) const -> bool {
  const target_state &Target = Targets[Position];
  return inUse(Target) && holds(Target, Request.Request, Now) &&
         !std::binary_search(Request.Tried.begin(), Request.Tried.end(),
                             Position);
}

auto target_pool::anyFor(const request_state &Request,
                         const time_point Now) const -> bool {
  for (std::size_t Position = 0; Position < Targets.size(); ++Position)
    if (suits(Position, Request, Now))
      return true;
  return false;
}

auto target_pool::refusalOf(const request_state &Request,
                            const time_point Now) const
    -> std::pair<attempt_outcome, std::optional<std::size_t>> {
  for (std::size_t Position = 0; Position < Targets.size(); ++Position)
    if (inUse(Targets[Position]) &&
        !holds(Targets[Position], Request.Request, Now))
      return {attempt_outcome::WrongVersion, Position};
  for (std::size_t Position = 0; Position < Targets.size(); ++Position)
    if (Targets[Position].Listed && Targets[Position].Leaving)
      return {attempt_outcome::Leaving, Position};
  return {attempt_outcome::NotRun, std::nullopt};
}

auto target_pool::anyFree(const time_point Now) const -> bool {
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto &Target) {
    return inUse(Target) && free(Target, Now);
  });
}

auto target_pool::slots() const -> int {
  int Sum = 0;
  for (std::size_t Position = 0; Position < Targets.size(); ++Position) {
    const target_state &Target = Targets[Position];
    if (inUse(Target) && !barred(Target) && !slow(Position))
      Sum += limit(Target);
  }
  return std::max(1, Sum);
}

auto target_pool::limit(const target_state &Target) const -> int {
  const double Least = std::min(Target.ShedLimit, Target.Health.ramp());
  if (Least >= RoleLimit)
    return RoleLimit;
  return std::max(1, static_cast<int>(Least));
}

auto target_pool::free(const target_state &Target, const time_point Now) const
    -> bool {
  return Target.InFlight < limit(Target) && Now >= Target.PausedUntil;
}

auto target_pool::nextChange(const time_point Now) const
    -> std::optional<time_point> {
  std::optional<time_point> Next;
  const auto Consider = [&](const time_point At) {
    if (At > Now && (!Next || At < *Next))
      Next = At;
  };
  for (const target_state &Target : Targets) {
    if (Target.ReturnAt)
      Consider(*Target.ReturnAt);
    if (!inUse(Target))
      continue;
    Consider(Target.PausedUntil);
    if (Target.Health.ejected())
      Consider(Target.Health.probeAt());
  }
  return Next;
}

auto target_pool::usedCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(),
                    [&](const auto &Target) { return inUse(Target); }));
}

auto target_pool::ejectedCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Targets.begin(), Targets.end(), [&](const auto &Target) {
        return inUse(Target) && Target.Health.ejected();
      }));
}

auto target_pool::mayEject(const target_state &Target) const -> bool {
  const std::size_t Others =
      ejectedCount() - (Target.Health.ejected() && inUse(Target) ? 1 : 0);
  return (Others + 1) * 2 <= usedCount();
}

auto target_pool::barred(const target_state &Target) const -> bool {
  return Target.Health.ejected() && ejectedCount() * 2 <= usedCount();
}

auto target_pool::onStart(const std::size_t Position, const bool Suspect)
    -> void {
  ++Targets[Position].InFlight;
  Targets[Position].SuspectsInFlight += Suspect ? 1 : 0;
}

auto target_pool::onEnd(const std::size_t Position, const bool Suspect)
    -> void {
  --Targets[Position].InFlight;
  Targets[Position].SuspectsInFlight -= Suspect ? 1 : 0;
}

} // namespace tarragon::admission::internal
