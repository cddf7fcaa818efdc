#include "placement/newstrust.h"

#include <algorithm>
#include <cmath>

namespace tarragon::placement {

namespace {

/// The lengths of the windows in attempts. With 256 alone, the slope of right
/// reports at low load, where waits are rare, is not told from chance; with
/// 2048 alone, reports that become wrong are trusted for thousands of attempts.
constexpr int LongWindow = 2048;
constexpr int ShortWindow = 256;
/// The short window replaces the long one when its slope is this many standard
/// errors lower.
constexpr double ChangeMargin = 4;
/// Reports are believed while fewer attempts are recorded.
constexpr int MinCount = 32;
/// Longer ones say nothing more; one pause must not outweigh all else.
constexpr double MaxWait = 8;
/// A prior by which waits are not predicted, in squared median latencies.
constexpr double PriorSquares = 5;
/// The assumed variance of latencies is at least that of work alone.
constexpr double MinLatencyVariance = 0.1;
/// The slope counts less this many standard errors.
constexpr double ErrorMargin = 2;
/// At load 0.8, reports of half a second ago have mean slopes of up to 0.13,
/// since some targets are lastingly slower, current ones of 0.35 and more. Two
/// standard errors bring the former near 0.
constexpr double FullTrustSlope = 0.1;

} // namespace

auto news_trust::regression::record(const double Wait, const double Latency,
                                    const int Window) -> void {
  Count = std::min(Count + 1, Window);
  const double Weight = 1.0 / Count;
  const double WaitOffset = Wait - MeanWait;
  const double LatencyOffset = Latency - MeanLatency;
  MeanWait += Weight * WaitOffset;
  MeanLatency += Weight * LatencyOffset;
  const auto Update = [Weight](double &Moment, const double Product) {
    Moment = (1 - Weight) * (Moment + Weight * Product);
  };
  Update(WaitVariance, WaitOffset * WaitOffset);
  Update(LatencyVariance, LatencyOffset * LatencyOffset);
  Update(Covariance, WaitOffset * LatencyOffset);
}

auto news_trust::regression::slope() const -> double {
  return Count * Covariance / (Count * WaitVariance + PriorSquares);
}

auto news_trust::regression::error() const -> double {
  return std::sqrt(std::max(LatencyVariance, MinLatencyVariance) /
                   (Count * WaitVariance + PriorSquares));
}

auto news_trust::record(const double ExpectedWait, const double Latency)
    -> void {
  const double Wait = std::min(ExpectedWait, MaxWait);
  const double BoundedLatency = std::min(Latency, MaxWait);
  Long.record(Wait, BoundedLatency, LongWindow);
  Short.record(Wait, BoundedLatency, ShortWindow);
  if (Short.Count < MinCount)
    return;
  if (Long.slope() - Short.slope() > ChangeMargin * Short.error()) {
    Long = Short;
    // The short window too began before the change.
    Long.Count = MinCount;
  }
  Value = std::clamp(
      (Long.slope() - ErrorMargin * Long.error()) / FullTrustSlope, 0.0, 1.0);
}

} // namespace tarragon::placement
