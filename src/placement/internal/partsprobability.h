#pragma once

#include <cstddef>
#include <vector>

namespace tarragon::placement::internal {

/// Returns the probability that at most \p MaxMissing parts miss their time, if
/// the parts are independent and part I is answered in time with probability
/// \p Shares[I] (Poisson-binomial distribution).
auto successProbability(const std::vector<double> &Shares,
                        std::size_t MaxMissing) -> double;

} // namespace tarragon::placement::internal
