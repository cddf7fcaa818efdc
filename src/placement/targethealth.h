#pragma once

#include "global/types/time.h"
#include "placement/loadestimate.h"
#include "placement/types/attemptend.h"
#include "placement/types/targethealthreport.h"

#include <algorithm>
#include <optional>

namespace tarragon::placement {

/// The health of one target as this instance observes it from its own
/// attempts: its relative latency and whether it answers, sheds or fails.
///
/// Detects targets that pause briefly, become slow, stop answering or shed
/// part of their requests. Does no I/O; not thread-safe.
class target_health {
public:
  /// Sets the maximum number of attempts in flight: this instance's share of
  /// the target's connections.
  auto setMaxOutstanding(int Max) -> void { MaxOutstanding = Max; }

  /// Sets the share of the target's slots that one attempt in flight here
  /// stands for, assuming that every instance has equally many in flight.
  auto setSlotShare(double Share) -> void { SlotShare = Share; }

  /// Sets the end of the target's slow start.
  auto setSlowStartEnd(time_point End) -> void { SlowStartEnd = End; }

  /// Starts a slow start until \p End of a target that got no requests for a
  /// while: one attempt at a time is allowed, and one more with each answer.
  auto returnGradually(time_point Now, time_point End) -> void;

  /// Returns the share of the choices in which the target competes with its
  /// siblings on equal terms: below 1 during a slow start after a return.
  auto returnShare(time_point Now) const -> double;

  /// Records that an attempt was sent.
  auto onSent(time_point Now) -> void;

  /// Records the end of an attempt. \p MedianLatency, here and below, is the
  /// median latency of this kind of request over all targets.
  auto onEnded(attempt_end End, microseconds Latency,
               microseconds MedianLatency, time_point Now) -> void;

  /// Records that the target wants no requests until \p Until. Afterwards, one
  /// attempt at a time is allowed, and one more with each answer.
  auto close(time_point Until) -> void;

  /// Returns whether the target wants no requests for now.
  auto isClosed(time_point Now) const -> bool { return Now < ClosedUntil; }
  auto closedUntil() const -> time_point { return ClosedUntil; }

  /// Returns whether attempts are in flight and the target has answered none
  /// for longer than expected.
  auto isSilent(microseconds MedianLatency, time_point Now) const -> bool;

  /// Returns whether the target gets no new attempts: it is down or at its
  /// maximum of attempts in flight.
  auto isUnavailable(microseconds MedianLatency, time_point Now) const -> bool;

  /// Returns whether the target failed recently or has been silent for long.
  /// After a block ends, one attempt at a time probes whether it recovered.
  auto isDown(microseconds MedianLatency, time_point Now) const -> bool;

  /// Returns whether an answer to an attempt in flight is no longer expected:
  /// the target is silent, or blocked after a failure.
  auto isUnresponsive(microseconds MedianLatency, time_point Now) const -> bool;

  /// Returns the expected latency of a new attempt in microseconds plus the
  /// expected cost of its refusal, to compare targets. A refusal costs
  /// \p RefusalCost median latencies.
  auto cost(microseconds MedianLatency, time_point Now,
            double RefusalCost = UsualRefusalCost) const -> double;

  /// Returns the cost with the target's reported load taken into account:
  /// \p OwnCost if it reports none. See load_estimate::cost().
  auto costByLoad(const double OwnCost, const double WorkShare,
                  const microseconds MedianLatency, const time_point Now) const
      -> double {
    return Load.cost(OwnCost, WorkShare, MedianLatency, SlotShare * Outstanding,
                     Now);
  }

  /// Returns the load as estimated from the target's reports.
  auto load() -> load_estimate & { return Load; }
  auto load() const -> const load_estimate & { return Load; }

  /// The cost of a refusal that a retry makes up for, in median latencies.
  static constexpr double UsualRefusalCost = 6;

  /// Returns the observed health for the status view.
  auto report(microseconds MedianLatency, time_point Now) const
      -> target_health_report;

  /// Returns when the block after a failure ends and the target wants requests
  /// again, or a past time.
  auto blockedUntil() const -> time_point {
    return std::max(BlockedUntil, ClosedUntil);
  }

  auto outstanding() const -> int { return Outstanding; }

private:
  auto blockAfterFailure(time_point Now) -> void;
  auto silentFor(time_point Now) const -> microseconds;
  auto scaledLatency(microseconds MedianLatency, int Factor,
                     time_point Now) const -> microseconds;
  auto slowness(time_point Now) const -> double;
  auto refusals(time_point Now) const -> double;

  int MaxOutstanding = 4;
  double SlotShare = 1;
  int Outstanding = 0;
  int ConsecutiveFailures = 0;
  double Slowness = 1; ///< latency over the median, smoothed
  double Refusals = 0; ///< share of attempts shed, failed or broken, smoothed
  time_point MeasuredAt;
  time_point WaitingSince; ///< for the next answer
  time_point BlockedUntil;
  time_point ClosedUntil;
  /// Maximum of attempts in flight since the target was closed; 0: as usual.
  int ReopenLimit = 0;
  time_point SlowStartEnd;
  time_point ReturnedAt; ///< start and end of a slow start after an evacuation
  time_point ReturnEnd;
  load_estimate Load;
};

} // namespace tarragon::placement
