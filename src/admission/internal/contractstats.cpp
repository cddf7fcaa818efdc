#include "admission/internal/contractstats.h"

namespace tarragon::admission::internal {

namespace {

constexpr std::uint32_t MinSamples = 20;
constexpr int SamplesPerRefresh = 16;
constexpr int MeanWindowSamples = 32;
constexpr double LateQuantile = 0.95;
constexpr double RequiredTimeQuantile = 0.95;

} // namespace

auto contract_stats::record(const microseconds Latency) -> void {
  if (Histogram.sampleCount() == 0)
    Mean = Latency;
  Mean += (Latency - Mean) / MeanWindowSamples;
  Histogram.record(Latency);
  if (--SamplesUntilRefresh > 0)
    return;
  SamplesUntilRefresh = SamplesPerRefresh;
  LateThreshold = Histogram.quantile(LateQuantile);
  RequiredTime = Histogram.quantile(RequiredTimeQuantile);
}

auto contract_stats::hasEnoughSamples() const -> bool {
  return Histogram.sampleCount() >= MinSamples;
}

} // namespace tarragon::admission::internal
