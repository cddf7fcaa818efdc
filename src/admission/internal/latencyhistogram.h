#pragma once

#include "global/types/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace tarragon::admission::internal {

/// Quantiles of recent latencies in buckets of about 9% width; old samples
/// fade out by halving all counts.
class latency_histogram {
public:
  auto record(microseconds Latency) -> void;

  /// The upper edge of the bucket in which \p Share of the samples is reached;
  /// zero when there are none.
  auto quantile(double Share) const -> microseconds;

  auto samples() const -> std::uint32_t { return Total; }

private:
  static constexpr std::size_t Buckets = 160;

  auto halve() -> void;

  std::array<std::uint32_t, Buckets> Counts{};
  std::uint32_t Total = 0;
};

} // namespace tarragon::admission::internal
