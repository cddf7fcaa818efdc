#pragma once

#include "world/types/ids.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace tarragon::membership {

/// The members whose updates are to be piggybacked, those sent least often
/// first. An update is removed after a bounded number of sends. Not
/// thread-safe.
class update_queue {
public:
  /// Queues an update of \p Id and resets its number of sends.
  auto push(const instance_id &Id) -> void;

  /// Returns the next ids, at most \p MaxCount, and counts a send for each;
  /// removes those sent \p MaxSends times.
  auto pop(std::size_t MaxCount, std::size_t MaxSends)
      -> std::vector<instance_id>;

  auto size() const -> std::size_t { return Sent.size(); }

private:
  std::map<instance_id, std::size_t> Sent;
  std::set<std::pair<std::size_t, instance_id>> Order;
};

} // namespace tarragon::membership
