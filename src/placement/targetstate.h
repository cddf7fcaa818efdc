#pragma once

#include "global/types/time.h"
#include "placement/types/attemptend.h"
#include "placement/types/targetbelief.h"

#include <optional>

namespace tarragon::placement {

/// What this instance believes of one target, learned from its own attempts
/// alone: how fast it is, whether it has fallen silent, sheds or fails.
///
/// Answers the loads "targets pause for a moment", "some targets turn slow",
/// "a target goes dark" and "targets shed part of their requests". Pure; not
/// locked.
class target_state {
public:
  /// \p MostOutstanding is this instance's share of its connections.
  auto setMostOutstanding(int Most) -> void { MostOutstanding = Most; }

  /// Work in flight fills \p Share of its slots: the others' is alike.
  auto setSlotShare(double Share) -> void { SlotShare = Share; }

  /// It is slow until \p Until because it has just started.
  auto setColdUntil(time_point Until) -> void { ColdUntil = Until; }

  auto onSent(time_point Now) -> void;

  /// \p Typical is the usual latency of such a request.
  auto onEnded(attempt_end End, microseconds Latency, microseconds Typical,
               time_point Now) -> void;

  /// An attempt was outstanding longer than usual, and the target had
  /// answered nothing meanwhile.
  auto silent(microseconds Typical, time_point Now) const -> bool;

  /// No new work for now: it is down or has no room.
  auto blocked(microseconds Typical, time_point Now) const -> bool;

  /// Lately unreachable, or silent for long. One attempt at a time tells
  /// whether it is back.
  auto down(microseconds Typical, time_point Now) const -> bool;

  /// An attempt that is out has no more hope: it is silent or was lately
  /// unreachable.
  auto hopeless(microseconds Typical, time_point Now) const -> bool;

  /// What a request should expect to wait, for comparison between targets.
  auto cost(microseconds Typical, time_point Now) const -> double;

  auto belief(microseconds Typical, time_point Now) const -> target_belief;

  /// When it gets work again if it is blocked for its failures.
  auto blockedUntil() const -> time_point { return BlockedUntil; }

  auto outstanding() const -> int { return Outstanding; }

private:
  auto fail(time_point Now) -> void;
  auto silentFor(time_point Now) const -> microseconds;
  auto usual(microseconds Typical, int Times, time_point Now) const
      -> microseconds;
  auto slowness(time_point Now) const -> double;
  auto refusals(time_point Now) const -> double;

  int MostOutstanding = 4;
  double SlotShare = 1;
  int Outstanding = 0;
  int FailStreak = 0;
  double Slowness = 1; ///< latency over the usual, smoothed
  double Refusals = 0; ///< share of attempts shed or broken, smoothed
  time_point LearnedAt;
  time_point WaitingSince; ///< of its next answer
  time_point BlockedUntil;
  time_point ColdUntil;
};

} // namespace tarragon::placement
