#include "admission/internal/targetpool.h"

#include <algorithm>
#include <cmath>

namespace tarragon::admission::internal {

namespace {

constexpr double LeastWeight = 0.1; ///< of a new latency sample
constexpr milliseconds LatencyMemory{1000};
constexpr milliseconds LackMemory{1000};
constexpr milliseconds SameCrash{50};
constexpr milliseconds CrashMemory{10000};
constexpr double LateWeight = 0.2;
constexpr double SlowLateShare = 0.5;
constexpr int SlowFactor = 3;
constexpr microseconds LeastSlowness{5000}; ///< not the way to a far domain
constexpr double ShedGainPerAnswer = 0.04;
constexpr microseconds LeastPause{2000};
constexpr int MostPauseDoublings = 5;

} // namespace

auto target_pool::onResult(const attempt_state &Attempt,
                           const attempt_outcome Outcome, const time_point Now)
    -> void {
  target_state &Target = Targets[Attempt.Target];
  const auto Elapsed =
      std::chrono::duration_cast<microseconds>(Now - Attempt.StartedAt);
  switch (Outcome) {
  case attempt_outcome::Answered:
    Target.Health.onAnswer(RoleLimit);
    Target.CrashedAt = time_point{};
    learnLatency(Target, Elapsed, Now);
    if (!Attempt.Late)
      Target.LateShare *=
          SlowLateShare <= Target.LateShare ? 0.5 : 1 - LateWeight;
    Target.ShedsInARow = 0;
    if (Target.ShedLimit < RoleLimit)
      Target.ShedLimit += ShedGainPerAnswer;
    return;
  case attempt_outcome::Shed:
    onShed(Target, Now);
    return;
  case attempt_outcome::Leaving:
    Target.Leaving = true;
    Target.SaidLeaving = Now;
    Target.ReturnAt.reset();
    return;
  case attempt_outcome::Expired:
    if (Elapsed < SlowFactor * bestLatency())
      return;
    learnLatency(Target, std::max(Elapsed, Target.Latency), Now);
    Target.Health.onFailure(Outcome, mayEject(Target), Random, Now);
    return;
  case attempt_outcome::Crashed:
    onCrash(Target, Attempt.Suspect, Now);
    [[fallthrough]];
  case attempt_outcome::NotSent:
  case attempt_outcome::Corrupt:
  case attempt_outcome::Refused:
    Target.Health.onFailure(Outcome, mayEject(Target), Random, Now);
    return;
  case attempt_outcome::WrongVersion:
  case attempt_outcome::NotRun:
    return;
  }
}

auto target_pool::onLate(const std::size_t Position, const microseconds Elapsed,
                         const time_point Now) -> void {
  target_state &Target = Targets[Position];
  Target.LateShare += LateWeight * (1 - Target.LateShare);
  if (Elapsed > Target.Latency)
    learnLatency(Target, Elapsed, Now);
}

auto target_pool::learnLatency(target_state &Target, const microseconds Sample,
                               const time_point Now) -> void {
  if (Target.Latency == microseconds{0}) {
    Target.Latency = std::max(Sample, microseconds{1});
    Target.LatencyAt = Now;
    return;
  }
  const double Ago = std::chrono::duration<double>(Now - Target.LatencyAt) /
                     std::chrono::duration<double>(LatencyMemory);
  const double Weight = std::max(LeastWeight, 1 - std::exp(-Ago));
  const auto Step =
      Weight * static_cast<double>((Sample - Target.Latency).count());
  Target.Latency += microseconds{static_cast<microseconds::rep>(Step)};
  Target.LatencyAt = Now;
}

/// Called for each attempt that the crash ended; those called for are no longer
/// counted in flight.
auto target_pool::onCrash(target_state &Target, const bool Suspect,
                          const time_point Now) -> void {
  const bool Same = Now < Target.CrashedAt + SameCrash;
  Target.CrashedAt = Now;
  if (Same)
    return;
  if (Suspect || Target.SuspectsInFlight > 0)
    Target.Blame = crash_blame::Suspect;
  else if (Target.InFlight == 0 && Role == dispatcher_role::Owner)
    Target.Blame = crash_blame::Single;
  else
    Target.Blame = crash_blame::All;
}

auto target_pool::sparesOne(const time_point Now) const -> bool {
  std::size_t Crashed = 0;
  std::size_t Used = 0;
  for (const target_state &Target : Targets) {
    if (!inUse(Target))
      continue;
    ++Used;
    const bool Lately = Target.CrashedAt != time_point{} &&
                        Now < Target.CrashedAt + CrashMemory;
    Crashed += Lately ? 1 : 0;
  }
  return Crashed == 0 || Crashed + 1 < Used;
}

auto target_pool::onShed(target_state &Target, const time_point Now) -> void {
  const double Present = std::min<double>(Target.ShedLimit, RoleLimit);
  if (Now >= Target.PausedUntil)
    Target.ShedLimit = std::max(1.0, Present - 1);
  const microseconds Pause =
      std::max(LeastPause, Target.Latency) / 2 *
      (1 << std::min(Target.ShedsInARow, MostPauseDoublings));
  ++Target.ShedsInARow;
  Target.ShedAt = Now;
  const auto Jittered =
      static_cast<double>(Pause.count()) * (0.5 + Random.share());
  Target.PausedUntil =
      std::max(Target.PausedUntil,
               Now + microseconds{static_cast<microseconds::rep>(Jittered)});
}

auto target_pool::learnHeld(const std::size_t Position,
                            const std::vector<held_version> &Held,
                            const subrequest &Request,
                            const attempt_outcome Outcome, const time_point Now)
    -> void {
  target_state &Target = Targets[Position];
  if (!Held.empty()) {
    Target.Held = Held;
    Target.HeldAt = Now;
    Target.Lacks.clear();
  }
  if (Outcome != attempt_outcome::WrongVersion)
    return;
  std::erase_if(Target.Lacks, [&](const lacked_version &Lacked) {
    return Lacked.Until <= Now;
  });
  const held_version Lacked{Request.Version, Request.ShardCount};
  Target.Lacks.push_back({Lacked, Now + LackMemory});
}

auto target_pool::bestLatency() const -> microseconds {
  microseconds Best{0};
  for (const target_state &Target : Targets) {
    const bool Counts = inUse(Target) && !Target.Health.ejected() &&
                        Target.Latency > microseconds{0};
    if (Counts && (Best == microseconds{0} || Target.Latency < Best))
      Best = Target.Latency;
  }
  return Best;
}

auto target_pool::slow(const std::size_t Position) const -> bool {
  const target_state &Target = Targets[Position];
  const microseconds Best = bestLatency();
  if (Best > microseconds{0} &&
      Target.Latency > std::max(SlowFactor * Best, Best + LeastSlowness))
    return true;
  if (Target.LateShare < SlowLateShare)
    return false;
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto &Other) {
    return inUse(Other) && Other.LateShare < Target.LateShare / 2;
  });
}

auto target_pool::worthSlow(const std::size_t Position,
                            const std::size_t Waiting) const -> bool {
  const microseconds Best = bestLatency();
  const auto Wait = Best * static_cast<int>(Waiting + 1) / slots();
  return Wait > Targets[Position].Latency - Best;
}

} // namespace tarragon::admission::internal
