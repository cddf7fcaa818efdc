#include "placement/latencymodel.h"

#include <algorithm>
#include <cmath>

namespace tarragon::placement {

namespace {

constexpr double FirstBucketUs = 200;
constexpr double BucketGrowth = 1.1;
constexpr double MinSamples = 40;
/// All counts are halved at this total, so that older samples lose weight.
constexpr double MaxSamples = 4000;

auto upperBound(const std::size_t Bucket) -> microseconds {
  return microseconds(static_cast<std::int64_t>(
      FirstBucketUs * std::pow(BucketGrowth, static_cast<double>(Bucket))));
}

} // namespace

latency_model::latency_model(const milliseconds NewPrior) : Prior(NewPrior) {}

auto latency_model::record(const microseconds Latency) -> void {
  const double Us = std::max<double>(1, static_cast<double>(Latency.count()));
  const double Step =
      std::ceil(std::log(Us / FirstBucketUs) / std::log(BucketGrowth));
  const auto Bucket = static_cast<std::size_t>(
      std::clamp<double>(Step, 0, static_cast<double>(BucketCount - 1)));
  Counts[Bucket] += 1;
  Total += 1;
  if (Total < MaxSamples)
    return;
  for (double &Count : Counts)
    Count /= 2;
  Total /= 2;
}

auto latency_model::quantile(const double Share) const -> microseconds {
  if (Total < MinSamples)
    return Share > 0.5 ? microseconds(Prior) : microseconds(Prior) / 2;
  double Remaining = Share * Total;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    Remaining -= Counts[Bucket];
    if (Remaining <= 0)
      return upperBound(Bucket);
  }
  return upperBound(BucketCount - 1);
}

} // namespace tarragon::placement
