#pragma once

#include "global/types/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace tarragon::admission::internal {

/// A histogram of recent latencies with buckets of about 9% width. All counts
/// are halved regularly, so that old samples lose weight.
class latency_histogram {
public:
  auto record(microseconds Latency) -> void;

  /// Returns the upper edge of the bucket that contains the quantile \p Share,
  /// or zero if there are no samples.
  auto quantile(double Share) const -> microseconds;

  auto sampleCount() const -> std::uint32_t { return Total; }

private:
  static constexpr std::size_t BucketCount = 160;

  auto halveCounts() -> void;

  std::array<std::uint32_t, BucketCount> Counts{};
  std::uint32_t Total = 0;
};

} // namespace tarragon::admission::internal
