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

/// What an instance last told of its configuration.
struct told_config {
  config_version Version = 0;
  time_point At;
};

/// Runs the member table: sends its messages, wakes it, tells of changes.
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
  auto toldConfigs() const -> std::map<instance_id, told_config>;
  auto reachesPeers() const -> bool;

private:
  using messages = std::vector<membership::outgoing_gossip>;

  auto send(messages Messages) -> void;
  auto afterStep() -> void;
  auto arrangeWake() -> void;
  auto onWake() -> void;
  /// Pings the seeds while no other instance is known.
  auto greetSeeds() -> void;

  transport::worker_pool &Pool;
  handlers Handlers;
  instance Self;
  std::vector<address> Seeds;
  mutable std::mutex Mutex; // rank 20
  membership::member_table Table;
  std::vector<instance> LastMembers;
  std::uint64_t SeenRevision = 0;
  bool Stale = true; ///< owners must be assigned again
  std::map<instance_id, told_config> Told;
  config_version Config = 0;
};

} // namespace tarragon::entry
