#pragma once

#include "world/types/ids.h"

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace tarragon::membership {

/// Whose news has yet to be sent along, least often sent first. Each news
/// leaves after a bounded number of sendings. Not locked.
class update_queue {
public:
  /// News of \p Id: counts from zero again.
  auto push(const instance_id &Id) -> void;

  /// The next ids, at most \p Most, each counted as sent once more; those
  /// sent \p Limit times leave.
  auto pop(std::size_t Most, std::size_t Limit) -> std::vector<instance_id>;

  auto size() const -> std::size_t { return Sent.size(); }

private:
  std::map<instance_id, std::size_t> Sent;
  std::set<std::pair<std::size_t, instance_id>> Order;
};

} // namespace tarragon::membership
