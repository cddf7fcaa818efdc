#include "admission/internal/contractstats.h"

namespace tarragon::admission::internal {

namespace {

constexpr std::uint32_t FewestSamples = 20;
constexpr int RefreshEvery = 16;
constexpr int MeanWeight = 32;
constexpr double LateShare = 0.95;
constexpr double NeededShare = 0.95;

} // namespace

auto contract_stats::record(const microseconds Latency) -> void {
  if (Histogram.samples() == 0)
    Mean = Latency;
  Mean += (Latency - Mean) / MeanWeight;
  Histogram.record(Latency);
  if (--UntilRefresh > 0)
    return;
  UntilRefresh = RefreshEvery;
  Late = Histogram.quantile(LateShare);
  Needed = Histogram.quantile(NeededShare);
}

auto contract_stats::known() const -> bool {
  return Histogram.samples() >= FewestSamples;
}

} // namespace tarragon::admission::internal
