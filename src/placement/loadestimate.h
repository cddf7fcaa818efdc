#pragma once

#include "global/types/time.h"
#include "placement/types/toldload.h"

#include <memory>
#include <optional>

namespace tarragon::placement {

class news_trust;

/// The load of one target as it is estimated from what the target reported,
/// from the age of the report, and from what this instance sent since.
///
/// Made for many instances that choose among the same targets at the same
/// moment, each with news that are several runs old: a report decides while it
/// is fresh, and an attempt in flight here counts for all instances, since the
/// others probably sent as many. Uses no clock; not thread-safe.
class load_estimate {
public:
  /// Sets what decides how far reports are believed; shared by all targets. A
  /// report counts in full without it.
  auto setTrust(std::shared_ptr<news_trust> NewTrust) -> void {
    Trust = std::move(NewTrust);
  }

  /// Records a report that describes the target at \p MeasuredAt. An older one
  /// than the last is ignored.
  auto record(const told_load &Load, time_point MeasuredAt) -> void;

  /// Records that an attempt was sent.
  auto onSent(time_point Now) -> void;

  /// Records the end of an attempt that was sent at \p SentAt, \p Latency ago.
  /// With \p IsMeasure, the latency shows whether the reports are right.
  auto onEnded(time_point SentAt, microseconds Latency, bool IsMeasure,
               microseconds MedianLatency) -> void;

  /// Returns the cost of a new attempt in microseconds: \p OwnCost, which is
  /// known from own attempts alone, mixed with the cost by the reported load as
  /// far as that is fresh and trusted. \p WorkShare is the share of the work in
  /// the cost by load, below 1 in the own failure domain. \p OwnShare is the
  /// share of the target's slots that the attempts in flight stand for.
  auto cost(double OwnCost, double WorkShare, microseconds MedianLatency,
            double OwnShare, time_point Now) const -> double;

  /// Returns how far the reported load counts in cost(): 1 when it is fresh and
  /// trusted, 0 without a report.
  auto weight(time_point Now) const -> double;

  /// Returns the last report, if there is one.
  auto told() const -> const std::optional<told_load> & { return Told; }
  auto toldAt() const -> time_point { return ToldAt; }

private:
  /// Returns the time that work takes at the target, relative to the usual.
  auto pace() const -> double;
  /// Returns the expected wait in median latencies.
  auto wait(microseconds MedianLatency, double OwnShare, time_point Now) const
      -> double;

  std::shared_ptr<news_trust> Trust;
  std::optional<told_load> Told;
  time_point ToldAt;
  double UsualInSystem = 0; ///< running and waiting, smoothed over reports
  microseconds LastMedian{0};
  time_point LastSentAt;
  double OwnPace = 1;        ///< of a target that reports none, smoothed
  double WaitOfLastSent = 0; ///< by the report alone, when it was sent
};

} // namespace tarragon::placement
