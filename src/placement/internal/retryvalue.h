#pragma once

#include <cstddef>
#include <vector>

namespace tarragon::placement::internal {

/// Returns the expected chance of an answer less the expected price of the
/// retries, for a query that needs \p Needed successful retries. Retry I isn't
/// refused with probability \p Shares[I]; they are sent in this order, at a
/// price of \p Price each, until the query has succeeded or the next one isn't
/// worth its price. 0 if none is.
auto retryValue(const std::vector<double> &Shares, std::size_t Needed,
                double Price) -> double;

} // namespace tarragon::placement::internal
