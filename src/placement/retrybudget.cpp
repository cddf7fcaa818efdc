#include "placement/retrybudget.h"

#include <algorithm>

namespace tarragon::placement {

namespace {

/// The usable share of the allowance. The rest is a margin, because other
/// instances count arrivals differently.
constexpr double UsableShare = 0.9;
/// The minimum share of the allowance that is reserved for retries.
constexpr double RetryReserveShare = 0.25;
/// The number of windows after which a started instance has its full slack.
constexpr int SlackGrowthWindows = 2;

/// Fewer requests in a window don't show how many retries are wanted.
constexpr double MinKnownRequests = 3;
/// The retries for which their price falls by e: enough that one retry doesn't
/// change it much, and few, as those left at the settled price aren't used.
constexpr double MinPriceStep = 1.2;
constexpr double PriceStepShare = 0.01;
/// The slices whose attempts count as recent: a quarter of the window.
constexpr std::int64_t RecentSlices = 5;
/// The weight, in attempts, of the estimate without any.
constexpr double PriorAttempts = 2;

} // namespace

retry_budget::retry_budget(const retry_limits NewLimits,
                           const time_point NewStartedAt)
    : Limits(NewLimits), StartedAt(NewStartedAt) {}

auto retry_budget::sliceNumber(const time_point Now) const -> std::int64_t {
  const auto Length =
      std::max<milliseconds>(Limits.Window / SliceCount, milliseconds(1));
  return Now.time_since_epoch() / Length;
}

auto retry_budget::currentSlice(const time_point Now) -> slice & {
  const std::int64_t Number = sliceNumber(Now);
  slice &Slice = Ring[static_cast<std::size_t>(Number) % Ring.size()];
  if (Slice.Number != Number)
    Slice = {Number};
  return Slice;
}

auto retry_budget::sumWindow(const time_point Now) const -> window_sums {
  const std::int64_t Oldest =
      sliceNumber(Now) - static_cast<std::int64_t>(SliceCount);
  window_sums Sums;
  for (const slice &Slice : Ring) {
    if (Slice.Number < Oldest)
      continue;
    const auto Span = static_cast<double>(Slice.Number - Oldest);
    Sums.FilledShare = std::max(Sums.FilledShare,
                                1 - Span / static_cast<double>(SliceCount + 1));
    Sums.Requests += Slice.Requests;
    Sums.Extra += Slice.Extra;
    Sums.RetriesRequested += Slice.RetriesRequested;
  }
  return Sums;
}

auto retry_budget::allowance(const extra_purpose Purpose,
                             const window_sums &Sums,
                             const time_point Now) const -> double {
  const double Total =
      UsableShare * (Limits.Ratio * Sums.Requests + grownSlack(Now));
  if (Purpose == extra_purpose::Retry)
    return Total;
  return Total - std::max(Total * RetryReserveShare, Sums.RetriesRequested);
}

auto retry_budget::grownSlack(const time_point Now) const -> double {
  const double Age = std::chrono::duration<double>(Now - StartedAt) /
                     std::chrono::duration<double>(Limits.Window);
  const double GrownShare = std::clamp(Age / SlackGrowthWindows, 0.1, 1.0);
  return Limits.Slack * GrownShare / std::max(1, Limits.Instances);
}

auto retry_budget::addRequest(const time_point Now) -> void {
  currentSlice(Now).Requests += 1;
}

auto retry_budget::tryAcquire(const extra_purpose Purpose, const time_point Now)
    -> bool {
  if (Purpose == extra_purpose::Retry)
    currentSlice(Now).RetriesRequested += 1;
  const window_sums Sums = sumWindow(Now);
  if (Sums.Extra + 1 > allowance(Purpose, Sums, Now))
    return false;
  currentSlice(Now).Extra += 1;
  return true;
}

auto retry_budget::remainingShare(const extra_purpose Purpose,
                                  const time_point Now) const -> double {
  const window_sums Sums = sumWindow(Now);
  const double Total = allowance(Purpose, Sums, Now);
  return Total <= 0 ? 0 : std::clamp(1 - Sums.Extra / Total, 0.0, 1.0);
}

auto retry_budget::spare(const time_point Now) const -> spare_retries {
  const window_sums Sums = sumWindow(Now);
  const double Slack = grownSlack(Now);
  const double Spread =
      UsableShare * (Limits.Ratio * Sums.Requests + Sums.FilledShare * Slack);
  const bool IsScarce =
      Sums.Requests >= MinKnownRequests && Sums.RetriesRequested > Spread;
  const double Total =
      IsScarce ? Spread : allowance(extra_purpose::Retry, Sums, Now);
  const double Left = std::max(0.0, Total - Sums.Extra);
  const double Window = IsScarce ? Total / Sums.FilledShare : Total;
  return {Window <= 0 ? 0 : Left / Window,
          Left / std::max(MinPriceStep, PriceStepShare * Window)};
}

auto retry_budget::isDemandKnown(const time_point Now) const -> bool {
  return sumWindow(Now).Requests >= MinKnownRequests;
}

auto retry_budget::refusedShare(const double Prior, const time_point Now) const
    -> double {
  const std::int64_t Oldest = sliceNumber(Now) - RecentSlices;
  double Attempts = PriorAttempts;
  double Refusals = PriorAttempts * Prior;
  for (const slice &Slice : Ring) {
    if (Slice.Number < Oldest)
      continue;
    Attempts += Slice.Attempts;
    Refusals += Slice.Refusals;
  }
  return std::min(1.0, Refusals / Attempts);
}

} // namespace tarragon::placement
