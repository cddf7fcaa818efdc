#include "admission/internal/targethealth.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

constexpr int FailuresToEject = 3;
constexpr int MostFailures = 30;
constexpr milliseconds FirstEjection{250};
constexpr int MostDoublings = 6; ///< of the first ejection: 16 s
constexpr double RampPerAnswer = 0.25;
constexpr double Unlimited = 1e9;

/// A crash leaves no doubt; a refused connection nearly none.
auto weightOf(const attempt_outcome Outcome) -> int {
  switch (Outcome) {
  case attempt_outcome::Crashed:
    return 3;
  case attempt_outcome::NotSent:
    return 2;
  case attempt_outcome::Corrupt:
  case attempt_outcome::Refused:
  case attempt_outcome::Expired:
    return 1;
  case attempt_outcome::Answered:
  case attempt_outcome::WrongVersion:
  case attempt_outcome::Shed:
  case attempt_outcome::Leaving:
  case attempt_outcome::NotRun:
    return 0;
  }
  return 0;
}

} // namespace

auto target_health::onAnswer(const int Slots) -> void {
  if (Ejected)
    Ramp = 1;
  Ejected = false;
  Failures = 0;
  Ejections = 0;
  Ramp = Ramp >= Slots ? Unlimited : Ramp + RampPerAnswer;
}

auto target_health::onFailure(const attempt_outcome Outcome,
                              const bool MayEject, random_source &Random,
                              const time_point Now) -> bool {
  Failures = std::min(MostFailures, Failures + weightOf(Outcome));
  const bool Enough = Ejected || (MayEject && Failures >= FailuresToEject);
  if (!Enough || Now < ProbeAt)
    return Ejected;
  Ejected = true;
  const auto Doubled =
      FirstEjection * (1 << std::min(Ejections, MostDoublings));
  ++Ejections;
  ProbeAt = Now + std::chrono::duration_cast<microseconds>(
                      Doubled * (0.75 + 0.5 * Random.share()));
  return true;
}

auto target_health::restart() -> void {
  *this = target_health{};
  Ramp = 1;
}

} // namespace tarragon::admission::internal
