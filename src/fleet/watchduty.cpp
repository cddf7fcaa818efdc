#include "fleet/watchduty.h"

#include "global/hash.h"

namespace tarragon::fleet {

auto watch_duty::mustWatch(const std::vector<peer> &Peers) const -> bool {
  const auto OwnRank = hash64(OwnId);
  std::size_t Before = 0;
  std::size_t Answered = 0;
  for (const peer &Peer : Peers) {
    Before += hash64(Peer.Id) < OwnRank ? 1 : 0;
    Answered += Peer.SourceSilence < LongestSilence ? 1 : 0;
  }
  return Before < (Answered < Watchers ? Reserves : Watchers);
}

} // namespace tarragon::fleet
