#include "global/backoff.h"

#include <algorithm>

namespace tarragon {

backoff::backoff(const milliseconds First, const milliseconds Longest,
                 const std::uint64_t Seed)
    : First(std::min(First, Longest)), Longest(Longest), Bound(this->First),
      Random(Seed) {}

auto backoff::next() -> milliseconds {
  std::uniform_int_distribution<milliseconds::rep> Draw(0, Bound.count());
  const milliseconds Delay{Draw(Random)};
  Bound = Bound > Longest / 2 ? Longest : Bound * 2;
  return Delay;
}

} // namespace tarragon
