#include "placement/loadestimate.h"

#include "placement/newstrust.h"

#include <algorithm>
#include <cmath>

namespace tarragon::placement {

namespace {

/// The time over which the usual load is averaged: several times the age of
/// old news, or instances that follow it would overload targets in turns.
constexpr std::chrono::duration<double> UsualTime{2.5};
/// The time, in median latencies, in which half of a deviation from the usual
/// load is gone. A queue with four slots relaxes within 3 runs at half of its
/// capacity and within 22 at 0.8 of it.
constexpr double HalfTime = 8;
/// The cost of an expected wait, in times of its length: the slowest part
/// decides when a query ends.
constexpr double WaitWeight = 8;
/// Deviation of a fresh report: attempts on their way to the target.
constexpr double FreshDeviation = 0.2;
/// Share of the cost by load in the cost, of a fresh and trusted report. The
/// rest is known from own attempts, which no wrong report can change.
constexpr double MaxLoadShare = 0.5;
/// The weight of a new latency in the pace of a target that reports none.
constexpr double PaceSmoothing = 0.25;
/// One pause must not outweigh all else.
constexpr double MaxPaceSample = 8;
/// Work differs from request to request; only a pace above this is slowness.
constexpr double WorkVariation = 1.25;
/// The age at which this share is half: reports of a target that gets no
/// attempts must not keep it without attempts.
constexpr std::chrono::duration<double> LoadShareHalfTime{2.5};

auto inSystem(const told_load &Load) -> double {
  return static_cast<double>(Load.Running) + Load.Waiting;
}

} // namespace

auto load_estimate::record(const told_load &Load, const time_point MeasuredAt)
    -> void {
  if (Told && MeasuredAt < ToldAt)
    return;
  const double Number = inSystem(Load);
  const std::chrono::duration<double> Gap = MeasuredAt - ToldAt;
  UsualInSystem =
      Told ? UsualInSystem + Gap / (Gap + UsualTime) * (Number - UsualInSystem)
           : Number;
  Told = Load;
  ToldAt = MeasuredAt;
}

auto load_estimate::onSent(const time_point Now) -> void {
  if (!Told)
    return;
  LastSentAt = Now;
  WaitOfLastSent = wait(LastMedian, 0, Now);
}

auto load_estimate::onEnded(const time_point SentAt, const microseconds Latency,
                            const bool IsMeasure,
                            const microseconds MedianLatency) -> void {
  if (!Told)
    return;
  // Latencies are cut to whole microseconds.
  const bool IsLastSent =
      SentAt >= LastSentAt && SentAt - LastSentAt < microseconds(1);
  if (IsMeasure && IsLastSent && LastMedian.count() > 0) {
    const double Ratio = static_cast<double>(Latency.count()) /
                         static_cast<double>(LastMedian.count());
    if (Trust)
      Trust->record(WaitOfLastSent, Ratio);
    const double Sample = Ratio / (1 + WaitOfLastSent / pace());
    OwnPace +=
        PaceSmoothing * (std::clamp(Sample, 1.0, MaxPaceSample) - OwnPace);
  }
  LastMedian = std::max(MedianLatency, microseconds(1));
}

auto load_estimate::pace() const -> double {
  return Told->Pace > 0 ? Told->Pace : std::max(1.0, OwnPace / WorkVariation);
}

auto load_estimate::wait(const microseconds MedianLatency,
                         const double OwnShare, const time_point Now) const
    -> double {
  using real_us = std::chrono::duration<double, std::micro>;
  const double Slots = Told->Slots;
  const double Pace = pace();
  const double Number = inSystem(*Told);
  // The longer the queue, the longer a report of it holds.
  const double HalfUs =
      HalfTime * Pace * std::max(1.0, Number / Slots) *
      static_cast<double>(std::max<std::int64_t>(1, MedianLatency.count()));
  const double Fresh =
      1 / (1 + std::max(0.0, real_us(Now - ToldAt).count()) / HalfUs);
  const double Expected =
      Fresh * Number + (1 - Fresh) * UsualInSystem + OwnShare * Slots;
  const double Excess = Expected + 1 - Slots;
  const double Deviation = FreshDeviation + (1 - Fresh) * std::sqrt(Slots);
  // A smooth maximum of 0 and the excess: the older the report, the likelier
  // is a wait at a target that should have free slots.
  return (Excess + std::sqrt(Excess * Excess + Deviation * Deviation)) / 2 /
         Slots * Pace;
}

auto load_estimate::weight(const time_point Now) const -> double {
  if (!Told)
    return 0;
  const std::chrono::duration<double> Age = Now - ToldAt;
  return (Trust ? Trust->value() : 1) /
         (1 + std::max(0.0, Age / LoadShareHalfTime));
}

auto load_estimate::cost(const double OwnCost, const double WorkShare,
                         const microseconds MedianLatency,
                         const double OwnShare, const time_point Now) const
    -> double {
  if (!Told)
    return OwnCost;
  const double LoadShare = MaxLoadShare * weight(Now);
  const double LoadCost =
      static_cast<double>(MedianLatency.count()) *
      (WorkShare + WaitWeight * wait(MedianLatency, OwnShare, Now));
  return LoadShare * LoadCost + (1 - LoadShare) * OwnCost;
}

} // namespace tarragon::placement
