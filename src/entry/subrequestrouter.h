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

/// Sends each subrequest to the instance that owns its group, or runs it here
/// when this is the owner, the owner doesn't answer, or it may not be
/// repeated.
class subrequest_router {
public:
  /// The request as sent, kept until it is settled.
  struct sent {
    fingerprint Fingerprint = 0;
    bool Suspect = false;
    std::optional<instance> Owner; ///< nothing when it runs here
    group_id Group;
  };

  struct handlers {
    std::function<void(subrequest)> RunHere;
    std::function<void(const query::cancel_subrequest &)> CancelHere;
    std::function<void(const instance &Owner, subrequest)> RunThere;
    std::function<void(const instance &Owner, const query::cancel_subrequest &)>
        CancelThere;
  };

  subrequest_router(instance_id Self, handlers Handlers);

  auto setOwners(std::map<group_id, instance> Owners) -> void;
  auto send(subrequest Request) -> void;
  auto cancel(const query::cancel_subrequest &Cancel) -> void;

  /// Forgets a settled subrequest and gives what was sent, if it was known.
  auto settled(const subrequest_id &Id) -> std::optional<sent>;

  /// The peer didn't take a call: what it was sent counts as lost, and it gets
  /// nothing more until peerHeard().
  auto peerLost(const instance_id &Peer) -> std::vector<subrequest_id>;
  auto peerHeard(const instance_id &Peer) -> void;

private:
  auto chooseOwner(const subrequest &Request) const -> std::optional<instance>;

  instance_id Self;
  handlers Handlers;
  mutable std::mutex Mutex; // rank 50
  std::map<group_id, instance> Owners;
  std::set<instance_id> Silent;
  std::map<subrequest_id, sent> Outstanding;
};

} // namespace tarragon::entry
