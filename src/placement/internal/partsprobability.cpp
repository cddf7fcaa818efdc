#include "placement/internal/partsprobability.h"

namespace tarragon::placement::internal {

auto successProbability(const std::vector<double> &Shares,
                        const std::size_t MaxMissing) -> double {
  std::vector<double> Missing(MaxMissing + 1);
  Missing[0] = 1;
  for (const double Share : Shares) {
    for (std::size_t Count = MaxMissing; Count > 0; --Count)
      Missing[Count] =
          Missing[Count] * Share + Missing[Count - 1] * (1 - Share);
    Missing[0] *= Share;
  }
  double Sum = 0;
  for (const double Each : Missing)
    Sum += Each;
  return Sum;
}

} // namespace tarragon::placement::internal
