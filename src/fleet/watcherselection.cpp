#include "fleet/watcherselection.h"

#include "global/hash.h"

#include <tuple>

namespace tarragon::fleet {

auto watcher_selection::mustWatch(const std::vector<peer> &Peers) const
    -> bool {
  const auto OwnRank = std::tuple(-OwnCapacity, hash64(OwnId));
  std::size_t HigherRanked = 0;
  std::size_t Answered = 0;
  for (const peer &Peer : Peers) {
    const auto Rank = std::tuple(-Peer.Capacity, hash64(Peer.Id));
    HigherRanked += Rank < OwnRank ? 1 : 0;
    Answered += Peer.SourceAnswerAge < MaxAnswerAge ? 1 : 0;
  }
  return HigherRanked <
         (Answered < WatcherCount ? MaxWatcherCount : WatcherCount);
}

} // namespace tarragon::fleet
