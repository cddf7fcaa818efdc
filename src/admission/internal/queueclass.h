#pragma once

#include "admission/internal/requeststate.h"

#include <tuple>
#include <vector>

namespace tarragon::admission::internal {

/// The priority of a request and the properties that determine which targets it
/// may use. If one request of a class finds no target, no other request of the
/// class does.
struct queue_class {
  int Priority = 0; ///< 0: highest
  index_version Version = 0;
  std::size_t ShardCount = 0;
  bool Suspect = false;
  bool RecentlyCrashed = false;
  bool Repeatable = true;
  std::vector<std::size_t> Tried;

  static auto of(const request_state &Request) -> queue_class {
    const subrequest &Submitted = Request.Request;
    return {Submitted.Priority, Submitted.Version,       Submitted.ShardCount,
            Submitted.Suspect,  Request.RecentlyCrashed, Submitted.Repeatable,
            Request.Tried};
  }

  auto operator<(const queue_class &Other) const -> bool {
    return tie() < Other.tie();
  }

private:
  auto tie() const
      -> std::tuple<const int &, const index_version &, const std::size_t &,
                    const bool &, const bool &, const bool &,
                    const std::vector<std::size_t> &> {
    return std::tie(Priority, Version, ShardCount, Suspect, RecentlyCrashed,
                    Repeatable, Tried);
  }
};

} // namespace tarragon::admission::internal
