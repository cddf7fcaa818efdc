#include "placement/newstrust.h"

#include <algorithm>

namespace tarragon::placement {

namespace {

/// The weight of a new sample: one query has tens of parts, so that some
/// queries decide, not one.
constexpr double Smoothing = 1.0 / 256;
/// Longer ones say nothing more; one pause must not outweigh all else.
constexpr double MaxWait = 8;
/// The variance, in squared median latencies, of a prior sample by which
/// reports are right. It decides while no target is expected to be full.
constexpr double PriorVariance = 0.01;
/// The median latency contains waiting too, so that even an exact expectation
/// has a slope below 1; from this one up, reports are trusted fully.
constexpr double FullTrustSlope = 0.5;

} // namespace

auto news_trust::record(const double ExpectedWait, const double Latency)
    -> void {
  const double WaitOffset = std::min(ExpectedWait, MaxWait) - MeanWait;
  const double LatencyOffset = std::min(Latency, MaxWait) - MeanLatency;
  MeanWait += Smoothing * WaitOffset;
  MeanLatency += Smoothing * LatencyOffset;
  Variance += Smoothing * (WaitOffset * WaitOffset - Variance);
  Covariance += Smoothing * (WaitOffset * LatencyOffset - Covariance);
  const double Slope =
      (Covariance + PriorVariance) / (Variance + PriorVariance);
  Value = std::clamp(Slope / FullTrustSlope, 0.0, 1.0);
}

} // namespace tarragon::placement
