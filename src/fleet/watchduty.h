#pragma once

#include "global/types/time.h"

#include <string>
#include <vector>

namespace tarragon::fleet {

/// Decides which instances watch the source of shared documents: a handful,
/// so that the calls don't grow with the number of instances. The others hear
/// from them. No lease: every instance decides from what its peers told, and
/// two that disagree only make more calls.
///
/// Answers the loads "every instance watches for itself" and "the source
/// turns the watchers away": while it answers too few of them, some more step
/// in, but never all.
class watch_duty {
public:
  /// A live peer as it told of itself. The strongest watch first, since
  /// the others fetch from them.
  struct peer {
    std::string Id;
    milliseconds SourceSilence{0};
    double Capacity = 0;
  };

  watch_duty(std::string OwnId, double OwnCapacity)
      : OwnId(std::move(OwnId)), OwnCapacity(OwnCapacity) {}

  /// Whether this instance has to watch beside \p Peers.
  auto mustWatch(const std::vector<peer> &Peers) const -> bool;

  static constexpr std::size_t Watchers = 3;
  /// Instances that watch while fewer watchers than that are answered.
  static constexpr std::size_t Reserves = 9;
  /// A watcher not answered for so long is not counted.
  static constexpr milliseconds LongestSilence{4000};

private:
  std::string OwnId;
  double OwnCapacity;
};

} // namespace tarragon::fleet
