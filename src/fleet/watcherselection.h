#pragma once

#include "global/types/time.h"

#include <string>
#include <vector>

namespace tarragon::fleet {

/// Decides which instances watch the source of shared documents. A fixed small
/// number watches, so that the calls don't grow with the number of instances;
/// the others fetch changes from them. There is no lease: each instance decides
/// from the statuses of its peers, and a disagreement only causes more calls.
///
/// While the source refuses or doesn't answer some watchers, a bounded number
/// of further instances watches too, so that an outage doesn't make all of them
/// call.
class watcher_selection {
public:
  /// A live peer as described by its status. Peers of higher capacity rank
  /// first as watchers, since the others fetch from them.
  struct peer {
    std::string Id;
    milliseconds SourceAnswerAge{0};
    double Capacity = 0;
  };

  watcher_selection(std::string OwnId, double OwnCapacity)
      : OwnId(std::move(OwnId)), OwnCapacity(OwnCapacity) {}

  /// Returns whether this instance has to watch, given \p Peers.
  auto mustWatch(const std::vector<peer> &Peers) const -> bool;

  static constexpr std::size_t WatcherCount = 3;
  /// Instances that watch while the source answers fewer than WatcherCount
  /// peers.
  static constexpr std::size_t MaxWatcherCount = 9;
  /// A peer that the source hasn't answered for this long doesn't count as
  /// answered.
  static constexpr milliseconds MaxAnswerAge{4000};

private:
  std::string OwnId;
  double OwnCapacity;
};

} // namespace tarragon::fleet
