#include "admission/internal/latencyhistogram.h"

#include <algorithm>
#include <cmath>

namespace tarragon::admission::internal {

namespace {

constexpr std::uint32_t MaxSamples = 1024;
constexpr double BucketsPerDoubling = 8;
constexpr double MinLatencyMicroseconds = 64;

} // namespace

auto latency_histogram::record(const microseconds Latency) -> void {
  const double Ratio = std::max(1.0, static_cast<double>(Latency.count()) /
                                         MinLatencyMicroseconds);
  const auto Bucket =
      static_cast<std::size_t>(std::log2(Ratio) * BucketsPerDoubling);
  ++Counts[std::min(Bucket, BucketCount - 1)];
  if (++Total >= MaxSamples)
    halveCounts();
}

auto latency_histogram::quantile(const double Share) const -> microseconds {
  if (Total == 0)
    return microseconds{0};
  const auto RequiredCount =
      static_cast<std::uint32_t>(std::ceil(Share * Total));
  std::uint32_t CumulativeCount = 0;
  std::size_t Bucket = 0;
  for (; Bucket + 1 < BucketCount; ++Bucket) {
    CumulativeCount += Counts[Bucket];
    if (CumulativeCount >= RequiredCount)
      break;
  }
  const double UpperEdge =
      MinLatencyMicroseconds *
      std::exp2(static_cast<double>(Bucket + 1) / BucketsPerDoubling);
  return microseconds{static_cast<microseconds::rep>(UpperEdge)};
}

auto latency_histogram::halveCounts() -> void {
  Total = 0;
  for (std::uint32_t &Count : Counts) {
    Count /= 2;
    Total += Count;
  }
}

} // namespace tarragon::admission::internal
