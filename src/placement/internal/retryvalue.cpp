#include "placement/internal/retryvalue.h"

#include <algorithm>

namespace tarragon::placement::internal {

auto retryValue(const std::vector<double> &Shares, const std::size_t Needed,
                const double Price) -> double {
  // Values[N]: of the retries from Index on, if N more must succeed.
  std::vector<double> Values(Needed + 1);
  Values[0] = 1;
  for (std::size_t Index = Shares.size(); Index-- > 0;)
    for (std::size_t Count = Needed; Count > 0; --Count)
      Values[Count] =
          std::max(0.0, Shares[Index] * Values[Count - 1] +
                            (1 - Shares[Index]) * Values[Count] - Price);
  return Values[Needed];
}

} // namespace tarragon::placement::internal
