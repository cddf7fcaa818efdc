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

/// Runner that keeps the configuration and the platform's lists up to date:
/// watches the platform, adopts configurations that peers offer, and calls the
/// handlers on changes. While the platform is unreachable, the instance
/// continues with the last state it has. Runs two threads between start() and
/// stop().
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

  /// Adopts a configuration from the platform or a peer if it is newer.
  auto adopt(config::accepted_config Config) -> void;
  auto inForce() const -> config::accepted_config;
  /// Returns the newest accepted configuration, for peers; it may be one that
  /// is not in force here.
  auto newest() const -> config::accepted_config;

  /// Returns why a newer accepted configuration is not in force here; empty if
  /// there is none.
  auto refusal() const -> std::string;

  /// Tries to put a deployment file in force. Blocks on calls to the platform.
  auto apply(const config::apply_request &Request) -> config::apply_outcome;

  /// Returns whether the platform replied recently.
  auto reachesPlatform() const -> bool;
  auto callCounts() const -> store::call_counts;

private:
  /// Copies the state of Adoption to the members that readers use.
  auto publish() -> void;
  auto watchHead() -> void;
  auto pollLists() -> void;
  /// Reads the instance list; returns the number of instances in it, or 0 when
  /// it can't be read.
  auto readInstanceList() -> std::size_t;
  auto readSnapshots() -> void;
  /// Reads and adopts the platform's configuration; returns false if it must
  /// be retried.
  auto loadConfig() -> bool;
  auto recordPlatformReply() -> void;
  /// Waits for \p Wait or until stop(); returns false when stopping.
  auto pause(milliseconds Wait) -> bool;

  entry_settings Settings;
  handlers Handlers;
  store::platform_client Platform;
  std::mutex AdoptMutex; // rank 5: held during a whole adoption
  config::config_adoption Adoption;
  mutable std::mutex Mutex; // rank 10
  std::condition_variable Stopped;
  bool Stopping = false;
  config::accepted_config InForce; ///< copy of Adoption's, for readers
  config::accepted_config Newest;
  std::string Refusal;
  std::atomic<time_point::rep> LastPlatformReply{0};
  std::thread Watcher;
  std::thread Poller;
};

} // namespace tarragon::entry
