#pragma once

#include "config/configadoption.h"
#include "config/types/applyoutcome.h"
#include "config/types/applyrequest.h"
#include "entry/types/entrysettings.h"
#include "query/types/pinnedsnapshot.h"
#include "store/platformclient.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

namespace tarragon::entry {

/// Keeps the configuration and the platform's lists: watches the platform,
/// takes what peers offer, and tells of what is new. Each instance works on
/// with what it has while the platform is away.
class config_runner {
public:
  struct handlers {
    std::function<void(const config::accepted_config &)> OnAdopted;
    std::function<void(const std::vector<instance> &)> OnInstances;
    std::function<void(const std::set<target_id> &Leaving,
                       const std::set<target_id> &Live)>
        OnTargets;
    std::function<void(const std::string &Index, query::pinned_snapshot)>
        OnSnapshot;
  };

  config_runner(const entry_settings &Settings, handlers Handlers);
  ~config_runner();

  auto start() -> void;
  auto stop() -> void;

  /// Takes a configuration from the platform or a peer.
  auto adopt(config::accepted_config Config) -> void;
  auto inForce() const -> config::accepted_config;
  auto newest() const -> config::accepted_config;

  /// Why a newer accepted configuration is not in force here; else empty.
  auto refusal() const -> std::string;

  /// Tries to put a file in force. Blocks for as long as the platform takes.
  auto apply(const config::apply_request &Request) -> config::apply_outcome;

  /// Whether the platform answered lately.
  auto reachesPlatform() const -> bool;
  auto callCounts() const -> store::call_counts;

private:
  auto publish() -> void;
  auto watchHead() -> void;
  auto pollLists() -> void;
  /// The number of instances listed; 0 when the list can't be read.
  auto readLists() -> std::size_t;
  auto readSnapshots() -> void;
  auto load() -> bool;
  auto markReached() -> void;
  /// Whether to go on: waits, or returns false at once on stop.
  auto pause(milliseconds Wait) -> bool;

  entry_settings Settings;
  handlers Handlers;
  store::platform_client Platform;
  std::mutex AdoptMutex; // rank 5: held while an adoption is carried out
  config::config_adoption Adoption;
  mutable std::mutex Mutex; // rank 10
  std::condition_variable Stopped;
  bool Stopping = false;
  config::accepted_config InForce; ///< what Adoption has, for readers
  config::accepted_config Newest;
  std::string Refusal;
  std::atomic<time_point::rep> LastReached{0};
  std::thread Watcher;
  std::thread Poller;
};

} // namespace tarragon::entry
