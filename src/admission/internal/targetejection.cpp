#include "admission/internal/targetejection.h"

#include <algorithm>

namespace tarragon::admission::internal {

namespace {

constexpr int EjectionThreshold = 3;
constexpr int MaxFailureScore = 30;
constexpr milliseconds FirstEjection{250};
constexpr int MaxEjectionDoublings = 6; ///< of the first ejection: up to 16 s
constexpr double SlowStartStepPerAnswer = 0.25;
constexpr double Unlimited = 1e9;

/// A crash proves that the target is down, and a refused connection nearly so:
/// they count more than other failures.
auto failureWeight(const attempt_outcome Outcome) -> int {
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

auto target_ejection::onAnswer(const int Slots) -> void {
  if (Ejected)
    SlowStartLimit = 1;
  Ejected = false;
  FailureScore = 0;
  Ejections = 0;
  SlowStartLimit = SlowStartLimit >= Slots
                       ? Unlimited
                       : SlowStartLimit + SlowStartStepPerAnswer;
}

auto target_ejection::onFailure(const attempt_outcome Outcome,
                                const bool MayEject, random_source &Random,
                                const time_point Now) -> bool {
  FailureScore =
      std::min(MaxFailureScore, FailureScore + failureWeight(Outcome));
  const bool MustEject =
      Ejected || (MayEject && FailureScore >= EjectionThreshold);
  if (!MustEject || Now < ProbeAt)
    return Ejected;
  Ejected = true;
  const auto Backoff =
      FirstEjection * (1 << std::min(Ejections, MaxEjectionDoublings));
  ++Ejections;
  ProbeAt = Now + std::chrono::duration_cast<microseconds>(
                      Backoff * (0.75 + 0.5 * Random.uniform()));
  return true;
}

auto target_ejection::beginSlowStart() -> void {
  *this = target_ejection{};
  SlowStartLimit = 1;
}

} // namespace tarragon::admission::internal
