#pragma once

#include "global/types/time.h"

#include <array>
#include <cstddef>

namespace tarragon::placement {

/// A histogram of the latencies of one kind of request. The weight of older
/// samples decays. Not thread-safe.
class latency_model {
public:
  /// \p Prior is the estimate for upper quantiles until enough samples are
  /// recorded; the estimate for the median and below is half of it.
  explicit latency_model(milliseconds Prior);

  /// Records the latency of one answered attempt.
  auto record(microseconds Latency) -> void;

  /// Returns an upper bound of the latency of the fastest \p Share of the
  /// attempts; \p Share is from 0 to 1.
  auto quantile(double Share) const -> microseconds;

  /// Returns the median latency.
  auto median() const -> microseconds { return quantile(0.5); }

private:
  static constexpr std::size_t BucketCount = 128;

  milliseconds Prior;
  std::array<double, BucketCount> Counts{};
  double Total = 0;
};

} // namespace tarragon::placement
