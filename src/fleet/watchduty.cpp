#include "fleet/watchduty.h"

#include "global/hash.h"

#include <tuple>

namespace tarragon::fleet {

auto watch_duty::mustWatch(const std::vector<peer> &Peers) const -> bool {
  const auto OwnRank = std::tuple(-OwnCapacity, hash64(OwnId));
  std::size_t Before = 0;
  std::size_t Answered = 0;
  for (const peer &Peer : Peers) {
    const auto Rank = std::tuple(-Peer.Capacity, hash64(Peer.Id));
    Before += Rank < OwnRank ? 1 : 0;
    Answered += Peer.SourceSilence < LongestSilence ? 1 : 0;
  }
  return Before < (Answered < Watchers ? Reserves : Watchers);
}

} // namespace tarragon::fleet
