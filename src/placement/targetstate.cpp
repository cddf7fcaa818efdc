#include "placement/targetstate.h"

#include <algorithm>
#include <cmath>

namespace tarragon::placement {

namespace {

constexpr double Smoothing = 0.25;
/// Beliefs fade so that a target gets another chance.
constexpr std::chrono::duration<double> Fading{2.5};
constexpr double ColdSlowness = 1.6;
constexpr microseconds LeastSilence{30000};
constexpr int SilentTimes = 3; ///< the usual latency
constexpr microseconds LongSilence{120000};
constexpr int LongSilentTimes = 6; ///< the usual latency
constexpr milliseconds FirstBlock{120};
constexpr milliseconds LongestBlock{1500};
constexpr int MostDoublings = 4;
constexpr double RefusalWeight = 6;

auto fade(const double Belief, const time_point Learned, const time_point Now)
    -> double {
  const std::chrono::duration<double> Age = Now - Learned;
  return Belief * std::exp(-Age.count() / Fading.count());
}

} // namespace

auto target_state::slowness(const time_point Now) const -> double {
  const double Learned = 1 + fade(Slowness - 1, LearnedAt, Now);
  return Now < ColdUntil ? std::max(Learned, ColdSlowness) : Learned;
}

auto target_state::refusals(const time_point Now) const -> double {
  return fade(Refusals, LearnedAt, Now);
}

auto target_state::onSent(const time_point Now) -> void {
  if (Outstanding++ == 0)
    WaitingSince = Now;
}

auto target_state::fail(const time_point Now) -> void {
  const auto Pause = FirstBlock * (1 << std::min(FailStreak, MostDoublings));
  BlockedUntil = Now + std::min<milliseconds>(Pause, LongestBlock);
  ++FailStreak;
}

auto target_state::onEnded(const attempt_end End, const microseconds Latency,
                           const microseconds Typical, const time_point Now)
    -> void {
  const bool WasSilent = silent(Typical, Now);
  Outstanding = std::max(0, Outstanding - 1);
  const double Slow = slowness(Now);
  const double Refused = refusals(Now);
  const double Measured =
      static_cast<double>(Latency.count()) /
      std::max<double>(1, static_cast<double>(Typical.count()));
  Slowness = Slow;
  Refusals = Refused;
  LearnedAt = Now;
  switch (End) {
  case attempt_end::Answered:
  case attempt_end::Failed:
    Slowness += Smoothing * (Measured - Slow);
    Refusals +=
        Smoothing * ((End == attempt_end::Failed ? 1.0 : 0.0) - Refused);
    FailStreak = 0;
    BlockedUntil = {};
    WaitingSince = Now;
    return;
  case attempt_end::Shed:
    Refusals += Smoothing * (1 - Refused);
    FailStreak = 0;
    WaitingSince = Now;
    return;
  case attempt_end::Broken:
    Refusals += Smoothing * (1 - Refused);
    if (++FailStreak > 2)
      fail(Now);
    return;
  case attempt_end::Misdirected:
  case attempt_end::Unreachable:
  case attempt_end::Rejected:
    // It may have no room for more connections: the pauses grow.
    fail(Now);
    return;
  case attempt_end::Abandoned:
    // The wait shows a lower bound of its latency.
    Slowness = std::max(Slowness, Slow + Smoothing * (Measured - Slow));
    if (WasSilent)
      fail(Now);
    return;
  }
}

auto target_state::silentFor(const time_point Now) const -> microseconds {
  if (Outstanding == 0)
    return microseconds(0);
  return std::chrono::duration_cast<microseconds>(Now - WaitingSince);
}

auto target_state::usual(const microseconds Typical, const int Times,
                         const time_point Now) const -> microseconds {
  return std::chrono::duration_cast<microseconds>(Typical * Times *
                                                  std::max(1.0, slowness(Now)));
}

auto target_state::silent(const microseconds Typical,
                          const time_point Now) const -> bool {
  return silentFor(Now) >
         std::max(LeastSilence, usual(Typical, SilentTimes, Now));
}

auto target_state::down(const microseconds Typical, const time_point Now) const
    -> bool {
  return Now < BlockedUntil || (FailStreak > 0 && Outstanding > 0) ||
         silentFor(Now) >
             std::max(LongSilence, usual(Typical, LongSilentTimes, Now));
}

auto target_state::hopeless(const microseconds Typical,
                            const time_point Now) const -> bool {
  return Now < BlockedUntil || silent(Typical, Now);
}

auto target_state::blocked(const microseconds Typical,
                           const time_point Now) const -> bool {
  return down(Typical, Now) || Outstanding >= MostOutstanding;
}

auto target_state::cost(const microseconds Typical, const time_point Now) const
    -> double {
  const double Usual = static_cast<double>(Typical.count());
  const double Waited = static_cast<double>(silentFor(Now).count());
  return std::max(Usual * slowness(Now), Waited) *
             (1 + SlotShare * Outstanding) +
         Usual * RefusalWeight * refusals(Now);
}

auto target_state::belief(const microseconds Typical,
                          const time_point Now) const -> target_belief {
  target_belief Belief;
  if (Now < BlockedUntil)
    Belief.Standing = target_standing::Blocked;
  else if (silent(Typical, Now))
    Belief.Standing = target_standing::Silent;
  else if (Outstanding >= MostOutstanding)
    Belief.Standing = target_standing::Full;
  Belief.Slowness = slowness(Now);
  Belief.Refusals = refusals(Now);
  Belief.Outstanding = Outstanding;
  if (Now < BlockedUntil)
    Belief.BlockedFor = std::chrono::ceil<milliseconds>(BlockedUntil - Now);
  return Belief;
}

} // namespace tarragon::placement
