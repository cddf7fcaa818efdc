#include "placement/targethealth.h"

#include <algorithm>
#include <cmath>

namespace tarragon::placement {

namespace {

/// The weight of a new sample in the moving averages.
constexpr double Smoothing = 0.25;
/// The decay time constant, in seconds, of slowness and refusals towards
/// normal, so that an avoided target is tried again.
constexpr std::chrono::duration<double> DecayTime{2.5};
/// The minimum slowness of a target during its slow start.
constexpr double ColdSlowness = 1.6;
constexpr microseconds MinSilence{30000};
constexpr int SilenceFactor = 3; ///< times the expected latency
constexpr microseconds MinDownSilence{120000};
constexpr int DownSilenceFactor = 6; ///< times the expected latency
constexpr milliseconds InitialBlock{120};
constexpr milliseconds MaxBlock{1500};
constexpr int MaxDoublings = 4;

auto decayed(const double Value, const time_point MeasuredAt,
             const time_point Now) -> double {
  const std::chrono::duration<double> Age = Now - MeasuredAt;
  return Value * std::exp(-Age.count() / DecayTime.count());
}

} // namespace

auto target_health::slowness(const time_point Now) const -> double {
  const double Measured = 1 + decayed(Slowness - 1, MeasuredAt, Now);
  return Now < SlowStartEnd ? std::max(Measured, ColdSlowness) : Measured;
}

auto target_health::returnGradually(const time_point Now, const time_point End)
    -> void {
  ReturnedAt = Now;
  ReturnEnd = End;
  ReopenLimit = 1;
}

auto target_health::returnShare(const time_point Now) const -> double {
  if (Now >= ReturnEnd)
    return 1;
  const std::chrono::duration<double> Passed = Now - ReturnedAt;
  const double Share = Passed / (ReturnEnd - ReturnedAt);
  // An idle target wins nearly every choice in which it competes, so a linear
  // share would bring back its whole load in a third of the time.
  return Share * Share;
}

auto target_health::refusals(const time_point Now) const -> double {
  return decayed(Refusals, MeasuredAt, Now);
}

auto target_health::onSent(const time_point Now) -> void {
  if (Outstanding++ == 0)
    WaitingSince = Now;
  Load.onSent(Now);
}

auto target_health::blockAfterFailure(const time_point Now) -> void {
  const auto Pause =
      InitialBlock * (1 << std::min(ConsecutiveFailures, MaxDoublings));
  BlockedUntil = Now + std::min<milliseconds>(Pause, MaxBlock);
  ++ConsecutiveFailures;
}

auto target_health::onEnded(const attempt_end End, const microseconds Latency,
                            const microseconds MedianLatency,
                            const time_point Now) -> void {
  // An abandoned attempt that waited for long was not about to be answered.
  const bool IsMeasure =
      End == attempt_end::Answered ||
      (End == attempt_end::Abandoned && Latency > MedianLatency);
  Load.onEnded(Now - Latency, Latency, IsMeasure, MedianLatency);
  const bool WasSilent = isSilent(MedianLatency, Now);
  Outstanding = std::max(0, Outstanding - 1);
  const double DecayedSlowness = slowness(Now);
  const double DecayedRefusals = refusals(Now);
  const double MeasuredSlowness =
      static_cast<double>(Latency.count()) /
      std::max<double>(1, static_cast<double>(MedianLatency.count()));
  Slowness = DecayedSlowness;
  Refusals = DecayedRefusals;
  MeasuredAt = Now;
  switch (End) {
  case attempt_end::Answered:
  case attempt_end::Failed:
    if (ReopenLimit > 0 && End == attempt_end::Answered &&
        ++ReopenLimit > MaxOutstanding)
      ReopenLimit = 0;
    Slowness += Smoothing * (MeasuredSlowness - DecayedSlowness);
    Refusals += Smoothing *
                ((End == attempt_end::Failed ? 1.0 : 0.0) - DecayedRefusals);
    ConsecutiveFailures = 0;
    BlockedUntil = {};
    WaitingSince = Now;
    return;
  case attempt_end::Shed:
    Refusals += Smoothing * (1 - DecayedRefusals);
    ConsecutiveFailures = 0;
    WaitingSince = Now;
    return;
  case attempt_end::Broken:
    Refusals += Smoothing * (1 - DecayedRefusals);
    if (++ConsecutiveFailures > 2)
      blockAfterFailure(Now);
    return;
  case attempt_end::Misdirected:
  case attempt_end::Unreachable:
  case attempt_end::Rejected:
    // The target may have reached its connection limit: back off
    // exponentially.
    blockAfterFailure(Now);
    return;
  case attempt_end::Abandoned:
    // The time waited is a lower bound of the latency.
    Slowness = std::max(Slowness,
                        DecayedSlowness +
                            Smoothing * (MeasuredSlowness - DecayedSlowness));
    if (WasSilent)
      blockAfterFailure(Now);
    return;
  }
}

auto target_health::close(const time_point Until) -> void {
  ClosedUntil = std::max(ClosedUntil, Until);
  ReopenLimit = 1;
}

auto target_health::silentFor(const time_point Now) const -> microseconds {
  if (Outstanding == 0)
    return microseconds(0);
  return std::chrono::duration_cast<microseconds>(Now - WaitingSince);
}

auto target_health::scaledLatency(const microseconds MedianLatency,
                                  const int Factor, const time_point Now) const
    -> microseconds {
  return std::chrono::duration_cast<microseconds>(MedianLatency * Factor *
                                                  std::max(1.0, slowness(Now)));
}

auto target_health::isSilent(const microseconds MedianLatency,
                             const time_point Now) const -> bool {
  return silentFor(Now) >
         std::max(MinSilence, scaledLatency(MedianLatency, SilenceFactor, Now));
}

auto target_health::isDown(const microseconds MedianLatency,
                           const time_point Now) const -> bool {
  return Now < BlockedUntil || isClosed(Now) ||
         (ConsecutiveFailures > 0 && Outstanding > 0) ||
         silentFor(Now) >
             std::max(MinDownSilence,
                      scaledLatency(MedianLatency, DownSilenceFactor, Now));
}

auto target_health::isUnresponsive(const microseconds MedianLatency,
                                   const time_point Now) const -> bool {
  return Now < BlockedUntil || isSilent(MedianLatency, Now);
}

auto target_health::isUnavailable(const microseconds MedianLatency,
                                  const time_point Now) const -> bool {
  return isDown(MedianLatency, Now) || Outstanding >= MaxOutstanding ||
         (ReopenLimit > 0 && Outstanding >= ReopenLimit);
}

auto target_health::cost(const microseconds MedianLatency, const time_point Now,
                         const double RefusalCost) const -> double {
  const double MedianUs = static_cast<double>(MedianLatency.count());
  const double WaitedUs = static_cast<double>(silentFor(Now).count());
  return std::max(MedianUs * slowness(Now), WaitedUs) *
             (1 + SlotShare * Outstanding) +
         MedianUs * RefusalCost * refusals(Now);
}

auto target_health::report(const microseconds MedianLatency,
                           const time_point Now) const -> target_health_report {
  target_health_report Report;
  if (Now < BlockedUntil)
    Report.Standing = target_standing::Blocked;
  else if (isClosed(Now))
    Report.Standing = target_standing::Closed;
  else if (isSilent(MedianLatency, Now))
    Report.Standing = target_standing::Silent;
  else if (Outstanding >= MaxOutstanding)
    Report.Standing = target_standing::Full;
  Report.Slowness = slowness(Now);
  Report.Refusals = refusals(Now);
  Report.Outstanding = Outstanding;
  if (Now < blockedUntil())
    Report.BlockedFor = std::chrono::ceil<milliseconds>(blockedUntil() - Now);
  return Report;
}

} // namespace tarragon::placement
