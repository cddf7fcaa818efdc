#pragma once

#include "admission/internal/requeststate.h"

#include <set>
#include <utility>

namespace tarragon::admission::internal {

/// Requests that wait for a slot, by deadline.
class request_queue {
public:
  auto push(request_state &Request) -> void;
  auto remove(request_state &Request) -> void;
  auto size() const -> std::size_t { return Waiting.size(); }

  /// Calls \p Start for each waiting request in order until \p Stop.
  auto begin() const { return Waiting.begin(); }
  auto end() const { return Waiting.end(); }

private:
  std::set<std::pair<time_point, request_number>> Waiting;
};

} // namespace tarragon::admission::internal
