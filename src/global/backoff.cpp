#include "global/backoff.h"

#include <algorithm>

namespace tarragon {

backoff::backoff(const milliseconds InitialBound, const milliseconds MaxDelay,
                 const std::uint64_t Seed)
    : InitialBound(std::min(InitialBound, MaxDelay)), MaxDelay(MaxDelay),
      Bound(this->InitialBound), Random(Seed) {}

auto backoff::next() -> milliseconds {
  std::uniform_int_distribution<milliseconds::rep> Distribution(0,
                                                                Bound.count());
  const milliseconds Delay{Distribution(Random)};
  Bound = Bound > MaxDelay / 2 ? MaxDelay : Bound * 2;
  return Delay;
}

} // namespace tarragon
