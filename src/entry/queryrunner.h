#pragma once

#include "query/scatterquery.h"
#include "query/versiontable.h"
#include "world/types/queryanswer.h"
#include "world/types/queryrequest.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace tarragon::transport {
class worker_pool;
}

namespace tarragon::entry {

/// Runs the queries whose root is this instance: carries out their actions
/// and wakes them in time.
class query_runner {
public:
  using completion = std::function<void(query_answer)>;

  struct handlers {
    std::function<void(subrequest)> Send;
    std::function<void(const query::cancel_subrequest &)> Cancel;
  };

  /// Numbers start at a place of \p Life's own: a late settlement of an
  /// earlier life must match no query of this one.
  query_runner(instance_id Self, incarnation Life, transport::worker_pool &Pool,
               handlers Handlers);

  /// Starts a query; \p Done comes exactly once.
  auto run(query_request Request, std::shared_ptr<const deployment> Deployment,
           fingerprint Fingerprint, bool Suspect, completion Done) -> void;

  /// Takes the end of a subrequest of a query that may be over already.
  auto settle(const settlement &Settlement) -> void;

  /// Takes the platform's word on an index.
  auto recordHint(const std::string &Index, query::pinned_snapshot Snapshot)
      -> void;

  /// Targets that leave hold nothing for new queries.
  auto forgetTargets(const std::set<target_id> &Targets) -> void;

  /// Forgets what targets said long ago; to be called about once a second.
  auto expireVersions() -> void;

  /// What a query of \p Contract would pin now.
  auto pin(const deployment &Deployment, const contract &Contract)
      -> std::optional<query::pinned_snapshot>;

  auto running() const -> std::size_t;

private:
  struct slot {
    std::mutex Mutex; // rank 30
    std::unique_ptr<query::scatter_query> Query;
    fingerprint Fingerprint = 0;
    completion Done;
    time_point WakeAt = time_point::max();
  };
  using slot_pointer = std::shared_ptr<slot>;

  template <class Event>
  auto step(std::uint64_t Number, const slot_pointer &Slot, Event &&Apply)
      -> void;
  auto perform(std::uint64_t Number, const slot_pointer &Slot,
               query::query_actions Actions) -> void;
  auto arrangeWake(std::uint64_t Number, const slot_pointer &Slot) -> void;
  auto find(std::uint64_t Number) const -> slot_pointer;

  instance_id Self;
  transport::worker_pool &Pool;
  handlers Handlers;
  mutable std::mutex Mutex; // rank 25: for the map only
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, slot_pointer> Slots;
  std::mutex VersionMutex; // rank 40: taken under a slot's
  query::version_table Versions;
};

} // namespace tarragon::entry
