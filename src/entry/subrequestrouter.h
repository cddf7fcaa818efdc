#pragma once

#include "query/types/cancelsubrequest.h"
#include "world/types/instance.h"
#include "world/types/subrequest.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace tarragon::entry {

/// Router that sends each subrequest to the instance that owns its group, or
/// runs it locally when this instance is the owner, no owner is known or
/// reachable, or the subrequest is not repeatable.
class subrequest_router {
public:
  /// Record of a routed subrequest, kept until it is settled.
  struct sent_subrequest {
    fingerprint Fingerprint = 0;
    bool Suspect = false;
    std::optional<instance> Owner; ///< empty when it runs locally
    group_id Group;
  };

  struct handlers {
    std::function<void(subrequest)> RunLocally;
    std::function<void(const query::cancel_subrequest &)> CancelLocally;
    std::function<void(const instance &Owner, subrequest)> SendToOwner;
    std::function<void(const instance &Owner, const query::cancel_subrequest &)>
        CancelAtOwner;
  };

  subrequest_router(instance_id Self, handlers Handlers);

  auto setOwners(std::map<group_id, instance> Owners) -> void;
  auto send(subrequest Request) -> void;
  /// Cancels a subrequest where it was sent, and removes it.
  auto cancel(const query::cancel_subrequest &Cancel) -> void;

  /// Removes a settled subrequest and returns its record, if there is one.
  auto remove(const subrequest_id &Id) -> std::optional<sent_subrequest>;

  /// Stops routing to \p Peer, which did not accept a call in time, until
  /// markReachable(). Returns the outstanding subrequests that it was sent.
  auto markUnreachable(const instance_id &Peer) -> std::vector<subrequest_id>;
  /// Allows routing to \p Peer again, after a message from it.
  auto markReachable(const instance_id &Peer) -> void;

private:
  /// Returns the instance to send \p Request to, or nothing to run it locally.
  auto chooseOwner(const subrequest &Request) const -> std::optional<instance>;

  instance_id Self;
  handlers Handlers;
  mutable std::mutex Mutex; // rank 50
  std::map<group_id, instance> Owners;
  std::set<instance_id> Unreachable;
  std::map<subrequest_id, sent_subrequest> Outstanding;
};

} // namespace tarragon::entry
