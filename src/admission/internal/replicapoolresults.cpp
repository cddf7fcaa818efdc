#include "admission/internal/replicapool.h"

#include <algorithm>
#include <cmath>

namespace tarragon::admission::internal {

namespace {

constexpr double MinSampleWeight = 0.1;
constexpr milliseconds LatencyTimeConstant{1000};
constexpr milliseconds MissingVersionLifetime{1000};
constexpr milliseconds SameCrashWindow{50};
constexpr milliseconds RecentCrashWindow{10000};
constexpr double LateSampleWeight = 0.2;
constexpr double SlowLateShare = 0.5;
constexpr int SlowLatencyRatio = 3;
/// Keeps the network latency to another failure domain from counting as slow.
constexpr microseconds MinSlowLatencyExcess{5000};
constexpr double ShedLimitStepPerAnswer = 0.04;
constexpr microseconds MinShedPause{2000};
constexpr int MaxPauseDoublings = 5;

} // namespace

auto replica_pool::onResult(const attempt_state &Attempt,
                            const attempt_outcome Outcome, const time_point Now)
    -> void {
  target_record &Target = Targets[Attempt.Target];
  const auto Elapsed =
      std::chrono::duration_cast<microseconds>(Now - Attempt.StartedAt);
  switch (Outcome) {
  case attempt_outcome::Answered:
    Target.Ejection.onAnswer(RoleLimit);
    Target.CrashedAt = time_point{};
    recordLatency(Target, Elapsed, Now);
    if (!Attempt.Late)
      Target.LateShare *=
          SlowLateShare <= Target.LateShare ? 0.5 : 1 - LateSampleWeight;
    Target.ConsecutiveSheds = 0;
    if (Target.ShedLimit < RoleLimit)
      Target.ShedLimit += ShedLimitStepPerAnswer;
    return;
  case attempt_outcome::Shed:
    onShed(Target, Now);
    return;
  case attempt_outcome::Leaving:
    Target.Leaving = true;
    Target.LeavingReportedAt = Now;
    Target.ReturnAt.reset();
    return;
  case attempt_outcome::Expired:
    if (Elapsed < SlowLatencyRatio * bestLatency())
      return;
    recordLatency(Target, std::max(Elapsed, Target.Latency), Now);
    Target.Ejection.onFailure(Outcome, mayEject(Target), Random, Now);
    return;
  case attempt_outcome::Crashed:
    onCrash(Target, Attempt.Suspect, Now);
    [[fallthrough]];
  case attempt_outcome::NotSent:
  case attempt_outcome::Corrupt:
  case attempt_outcome::Refused:
    Target.Ejection.onFailure(Outcome, mayEject(Target), Random, Now);
    return;
  case attempt_outcome::WrongVersion:
  case attempt_outcome::NotRun:
    return;
  }
}

auto replica_pool::onLate(const std::size_t Position,
                          const microseconds Elapsed, const time_point Now)
    -> void {
  target_record &Target = Targets[Position];
  Target.LateShare += LateSampleWeight * (1 - Target.LateShare);
  if (Elapsed > Target.Latency)
    recordLatency(Target, Elapsed, Now);
}

auto replica_pool::recordLatency(target_record &Target,
                                 const microseconds Sample,
                                 const time_point Now) -> void {
  if (Target.Latency == microseconds{0}) {
    Target.Latency = std::max(Sample, microseconds{1});
    Target.LatencySampledAt = Now;
    return;
  }
  const double RelativeAge =
      std::chrono::duration<double>(Now - Target.LatencySampledAt) /
      std::chrono::duration<double>(LatencyTimeConstant);
  const double Weight = std::max(MinSampleWeight, 1 - std::exp(-RelativeAge));
  const auto Step =
      Weight * static_cast<double>((Sample - Target.Latency).count());
  Target.Latency += microseconds{static_cast<microseconds::rep>(Step)};
  Target.LatencySampledAt = Now;
}

/// Called for each attempt that the crash ended, when the attempt is no longer
/// counted as in flight.
auto replica_pool::onCrash(target_record &Target, const bool Suspect,
                           const time_point Now) -> void {
  const bool IsSameCrash = Now < Target.CrashedAt + SameCrashWindow;
  Target.CrashedAt = Now;
  if (IsSameCrash)
    return;
  if (Suspect || Target.SuspectsInFlight > 0)
    Target.Attribution = crash_attribution::Suspect;
  else if (Target.InFlight == 0 && Role == dispatcher_role::Owner)
    Target.Attribution = crash_attribution::Single;
  else
    Target.Attribution = crash_attribution::All;
}

auto replica_pool::toleratesAnotherCrash(const time_point Now) const -> bool {
  std::size_t Crashed = 0;
  std::size_t InUse = 0;
  for (const target_record &Target : Targets) {
    if (!inService(Target))
      continue;
    ++InUse;
    const bool Recently = Target.CrashedAt != time_point{} &&
                          Now < Target.CrashedAt + RecentCrashWindow;
    Crashed += Recently ? 1 : 0;
  }
  return Crashed == 0 || Crashed + 1 < InUse;
}

auto replica_pool::onShed(target_record &Target, const time_point Now) -> void {
  const double CurrentLimit = std::min<double>(Target.ShedLimit, RoleLimit);
  if (Now >= Target.PausedUntil)
    Target.ShedLimit = std::max(1.0, CurrentLimit - 1);
  const microseconds Pause =
      std::max(MinShedPause, Target.Latency) / 2 *
      (1 << std::min(Target.ConsecutiveSheds, MaxPauseDoublings));
  ++Target.ConsecutiveSheds;
  Target.ShedAt = Now;
  const auto Jittered =
      static_cast<double>(Pause.count()) * (0.5 + Random.uniform());
  Target.PausedUntil =
      std::max(Target.PausedUntil,
               Now + microseconds{static_cast<microseconds::rep>(Jittered)});
}

auto replica_pool::recordHeldVersions(const std::size_t Position,
                                      const std::vector<held_version> &Held,
                                      const subrequest &Request,
                                      const attempt_outcome Outcome,
                                      const time_point Now) -> void {
  target_record &Target = Targets[Position];
  if (!Held.empty()) {
    Target.Held = Held;
    Target.HeldReportedAt = Now;
    Target.MissingVersions.clear();
  }
  if (Outcome != attempt_outcome::WrongVersion)
    return;
  std::erase_if(Target.MissingVersions, [&](const missing_version &Missing) {
    return Missing.Until <= Now;
  });
  const held_version Missing{Request.Version, Request.ShardCount};
  Target.MissingVersions.push_back({Missing, Now + MissingVersionLifetime});
}

auto replica_pool::bestLatency() const -> microseconds {
  microseconds Best{0};
  for (const target_record &Target : Targets) {
    const bool IsMeasured = inService(Target) && !Target.Ejection.ejected() &&
                            Target.Latency > microseconds{0};
    if (IsMeasured && (Best == microseconds{0} || Target.Latency < Best))
      Best = Target.Latency;
  }
  return Best;
}

auto replica_pool::isSlow(const std::size_t Position) const -> bool {
  const target_record &Target = Targets[Position];
  const microseconds Best = bestLatency();
  if (Best > microseconds{0} &&
      Target.Latency >
          std::max(SlowLatencyRatio * Best, Best + MinSlowLatencyExcess))
    return true;
  if (Target.LateShare < SlowLateShare)
    return false;
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto &Other) {
    return inService(Other) && Other.LateShare < Target.LateShare / 2;
  });
}

auto replica_pool::slowBeatsWaiting(const std::size_t Position,
                                    const std::size_t Waiting) const -> bool {
  const microseconds Best = bestLatency();
  const auto Wait = Best * static_cast<int>(Waiting + 1) / healthySlots();
  return Wait > Targets[Position].Latency - Best;
}

} // namespace tarragon::admission::internal
