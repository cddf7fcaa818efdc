#pragma once

#include "global/types/time.h"

#include <array>
#include <cstddef>

namespace tarragon::placement {

/// The latencies of one kind of request, learned from attempts. Older ones
/// count less and less. Not locked.
class latency_model {
public:
  /// \p Prior is the latency to expect of a slow attempt until enough
  /// attempts were seen.
  explicit latency_model(milliseconds Prior);

  auto record(microseconds Latency) -> void;

  /// The latency that \p Share of the attempts stay below.
  auto quantile(double Share) const -> microseconds;

  /// The median.
  auto typical() const -> microseconds { return quantile(0.5); }

private:
  static constexpr std::size_t Buckets = 128;

  milliseconds Prior;
  std::array<double, Buckets> Counts{};
  double Total = 0;
};

} // namespace tarragon::placement
