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

/// Runner of the queries that this instance coordinates: performs their actions
/// and schedules their timers.
class query_runner {
public:
  using completion = std::function<void(query_answer)>;

  struct handlers {
    std::function<void(subrequest)> Send;
    std::function<void(const query::cancel_subrequest &)> Cancel;
  };

  /// Query numbers start at a value derived from \p Incarnation, so that a late
  /// settlement of an earlier incarnation matches no query of this one.
  query_runner(instance_id Self, incarnation Incarnation,
               transport::worker_pool &Pool, handlers Handlers);

  /// Starts a query and calls \p Done exactly once.
  auto run(query_request Request, std::shared_ptr<const deployment> Deployment,
           fingerprint Fingerprint, bool Suspect, completion Done) -> void;

  /// Records the end of a subrequest; its query may have finished already.
  auto settle(const settlement &Settlement) -> void;

  /// Records the snapshot that the platform lists for \p Index.
  auto recordListedSnapshot(const std::string &Index,
                            query::pinned_snapshot Snapshot) -> void;

  /// Drops the versions reported by \p Targets, which are leaving and not used
  /// for new queries.
  auto removeTargets(const std::set<target_id> &Targets) -> void;

  /// Marks versions that targets reported too long ago as stale. Call it about
  /// once a second.
  auto expireVersions() -> void;

  /// Returns the snapshot that a query of \p Contract would pin now.
  auto snapshotFor(const deployment &Deployment, const contract &Contract)
      -> std::optional<query::pinned_snapshot>;

  /// Returns the number of queries in flight.
  auto running() const -> std::size_t;

private:
  struct running_query {
    std::mutex Mutex; // rank 30
    std::unique_ptr<query::scatter_query> Query;
    fingerprint Fingerprint = 0;
    completion Done;
    time_point WakeAt = time_point::max();
  };
  using query_pointer = std::shared_ptr<running_query>;

  template <class Event>
  auto step(std::uint64_t Number, const query_pointer &Running, Event &&Apply)
      -> void;
  auto perform(std::uint64_t Number, const query_pointer &Running,
               query::query_actions Actions) -> void;
  auto scheduleWake(std::uint64_t Number, const query_pointer &Running) -> void;
  auto find(std::uint64_t Number) const -> query_pointer;

  instance_id Self;
  transport::worker_pool &Pool;
  handlers Handlers;
  mutable std::mutex Mutex; // rank 25: guards the map
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, query_pointer> RunningQueries;
  std::mutex VersionMutex; // rank 40: locked while a running_query's mutex is
                           // held
  query::version_table Versions;
};

} // namespace tarragon::entry
