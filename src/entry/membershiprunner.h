#pragma once

#include "entry/types/entrysettings.h"
#include "membership/membertable.h"

#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace tarragon::transport {
class worker_pool;
}

namespace tarragon::entry {

/// Configuration version that an instance last announced, and when.
struct announced_config {
  config_version Version = 0;
  time_point At;
};

/// Runner of the member table: sends its messages, schedules its timers and
/// calls the handlers on changes.
class membership_runner {
public:
  struct handlers {
    std::function<void(const instance &To, membership::gossip_message)> Send;
    std::function<void(const std::vector<instance> &Members)> OnChanged;
    std::function<void(const instance &Peer, config_version Version)>
        OnNewerConfig;
  };

  membership_runner(const entry_settings &Settings,
                    transport::worker_pool &Pool, handlers Handlers);

  auto start() -> void;
  auto onMessage(const membership::gossip_message &Message) -> void;
  auto adoptInstanceList(const std::vector<instance> &List) -> void;
  auto setConfig(config_version Version) -> void;
  auto leave() -> void;

  auto members() const -> std::vector<instance>;
  auto find(const instance_id &Id) const -> std::optional<instance>;
  auto announcedConfigs() const -> std::map<instance_id, announced_config>;
  auto reachesPeers() const -> bool;

private:
  using messages = std::vector<membership::outgoing_gossip>;

  auto send(messages Messages) -> void;
  /// Calls the handlers if the members or the newest configuration changed.
  auto publishChanges() -> void;
  auto scheduleWake() -> void;
  auto onWake() -> void;
  /// Pings the seeds periodically while no other instance is known.
  auto pingSeeds() -> void;

  transport::worker_pool &Pool;
  handlers Handlers;
  instance Self;
  std::vector<address> Seeds;
  mutable std::mutex Mutex; // rank 20
  membership::member_table Table;
  std::vector<instance> LastMembers;
  std::uint64_t PublishedRevision = 0;
  bool OwnersStale = true; ///< group owners must be reassigned
  std::map<instance_id, announced_config> Announced;
  config_version Config = 0;
};

} // namespace tarragon::entry
