#include "placement/retrybudget.h"

#include <algorithm>

namespace tarragon::placement {

namespace {

/// What is kept back for arrivals that other instances count differently.
constexpr double SafeShare = 0.9;
/// The least part of the allowance that hedges leave to retries.
constexpr double KeptForRetries = 0.25;
/// Windows until a new instance has its whole slack.
constexpr int WindowsToGrow = 2;

} // namespace

retry_budget::retry_budget(const retry_limits NewLimits,
                           const time_point NewBornAt)
    : Limits(NewLimits), BornAt(NewBornAt) {}

auto retry_budget::sliceNumber(const time_point Now) const -> std::int64_t {
  const auto Length =
      std::max<milliseconds>(Limits.Window / Slices, milliseconds(1));
  return Now.time_since_epoch() / Length;
}

auto retry_budget::current(const time_point Now) -> slice & {
  const std::int64_t Number = sliceNumber(Now);
  slice &Slice = Ring[static_cast<std::size_t>(Number) % Ring.size()];
  if (Slice.Number != Number)
    Slice = {Number, 0, 0, 0};
  return Slice;
}

auto retry_budget::sum(const time_point Now) const -> sums {
  const std::int64_t Oldest =
      sliceNumber(Now) - static_cast<std::int64_t>(Slices);
  sums Sums;
  for (const slice &Slice : Ring) {
    if (Slice.Number < Oldest)
      continue;
    Sums.Requests += Slice.Requests;
    Sums.Extra += Slice.Extra;
    Sums.RetriesWanted += Slice.RetriesWanted;
  }
  return Sums;
}

auto retry_budget::allowance(const extra_purpose Purpose, const sums &Sums,
                             const time_point Now) const -> double {
  const double Age = std::chrono::duration<double>(Now - BornAt) /
                     std::chrono::duration<double>(Limits.Window);
  const double Grown = std::clamp(Age / WindowsToGrow, 0.1, 1.0);
  const double Slack = Limits.Slack * Grown / std::max(1, Limits.Instances);
  const double All = SafeShare * (Limits.Ratio * Sums.Requests + Slack);
  if (Purpose == extra_purpose::Retry)
    return All;
  return All - std::max(All * KeptForRetries, Sums.RetriesWanted);
}

auto retry_budget::addRequest(const time_point Now) -> void {
  current(Now).Requests += 1;
}

auto retry_budget::take(const extra_purpose Purpose, const time_point Now)
    -> bool {
  if (Purpose == extra_purpose::Retry)
    current(Now).RetriesWanted += 1;
  const sums Sums = sum(Now);
  if (Sums.Extra + 1 > allowance(Purpose, Sums, Now))
    return false;
  current(Now).Extra += 1;
  return true;
}

auto retry_budget::left(const extra_purpose Purpose, const time_point Now)
    -> double {
  const sums Sums = sum(Now);
  const double All = allowance(Purpose, Sums, Now);
  return All <= 0 ? 0 : std::clamp(1 - Sums.Extra / All, 0.0, 1.0);
}

} // namespace tarragon::placement
