#include "admission/internal/latencyhistogram.h"

#include <algorithm>
#include <cmath>

namespace tarragon::admission::internal {

namespace {

constexpr std::uint32_t HalveAt = 1024;
constexpr double BucketsPerDoubling = 8;
constexpr double LowestMicroseconds = 64;

} // namespace

auto latency_histogram::record(const microseconds Latency) -> void {
  const double Ratio =
      std::max(1.0, static_cast<double>(Latency.count()) / LowestMicroseconds);
  const auto Bucket =
      static_cast<std::size_t>(std::log2(Ratio) * BucketsPerDoubling);
  ++Counts[std::min(Bucket, Buckets - 1)];
  if (++Total >= HalveAt)
    halve();
}

auto latency_histogram::quantile(const double Share) const -> microseconds {
  if (Total == 0)
    return microseconds{0};
  const auto Wanted = static_cast<std::uint32_t>(std::ceil(Share * Total));
  std::uint32_t Reached = 0;
  std::size_t Bucket = 0;
  for (; Bucket + 1 < Buckets; ++Bucket) {
    Reached += Counts[Bucket];
    if (Reached >= Wanted)
      break;
  }
  const double Edge =
      LowestMicroseconds *
      std::exp2(static_cast<double>(Bucket + 1) / BucketsPerDoubling);
  return microseconds{static_cast<microseconds::rep>(Edge)};
}

auto latency_histogram::halve() -> void {
  Total = 0;
  for (std::uint32_t &Count : Counts) {
    Count /= 2;
    Total += Count;
  }
}

} // namespace tarragon::admission::internal
