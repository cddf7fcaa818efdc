#pragma once

namespace tarragon::placement::internal {

/// The cost, in median latencies, of a refusal that no retry makes up for: the
/// part is missing, and often the whole answer fails.
inline constexpr double LostPartCost = 20;
/// From this remaining share of the retry budget up, a refused first attempt is
/// expected to be retried.
inline constexpr double AmpleRetryShare = 0.2;

} // namespace tarragon::placement::internal
