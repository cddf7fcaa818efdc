#pragma once

#include "query/internal/continuationtoken.h"
#include "query/internal/partset.h"
#include "query/types/queryaction.h"
#include "world/types/deployment.h"
#include "world/types/queryrequest.h"
#include "world/types/settlement.h"

#include <memory>
#include <optional>
#include <set>

namespace tarragon::query {

class version_table;

/// The state machine of one query, from its start to its only answer. Does no
/// I/O and reads no clock: takes the time and the version table as arguments
/// and returns the actions to execute.
class scatter_query {
public:
  /// \p Number is unique among the queries of one incarnation of \p
  /// Coordinator. \p Suspect: the request's fingerprint has crashed a target
  /// before.
  scatter_query(std::uint64_t Number, instance_id Coordinator,
                query_request Request,
                std::shared_ptr<const deployment> Deployment,
                fingerprint Fingerprint, bool Suspect);

  /// Pins a snapshot and returns a subrequest for every shard, or refuses the
  /// query at once.
  auto start(const version_table &Versions, time_point Now) -> query_actions;

  /// Handles the end of a subrequest. Ignores a stale or duplicate settlement.
  auto onSettlement(const settlement &Settlement, const version_table &Versions,
                    time_point Now) -> query_actions;

  /// Handles timeouts. To be called at nextWake() or later.
  auto onTimer(time_point Now) -> query_actions;

  /// Returns when onTimer() is due, or nothing once the query has finished.
  auto nextWake() const -> std::optional<time_point>;

  auto finished() const -> bool { return Finished; }

private:
  auto beginRound(pinned_snapshot Pinned, time_point Now) -> query_actions;
  auto continueFromToken(const version_table &Versions, time_point Now)
      -> query_actions;
  auto makeSend(std::uint32_t Index) const -> send_subrequest;
  auto isCurrent(const subrequest_id &Id) const -> bool;
  auto recordFailure(const settlement &Settlement, attempt_outcome Outcome)
      -> void;
  auto mayRetry(const query_part &Part, const settlement &Settlement,
                time_point Now) const -> bool;
  auto restart(const version_table &Versions, time_point Now)
      -> std::optional<query_actions>;
  auto restartAt(pinned_snapshot Other, time_point Now) -> query_actions;
  auto mayRestart(time_point Now) const -> bool;
  auto otherSnapshot(const version_table &Versions) const
      -> std::optional<pinned_snapshot>;
  auto hasTimeForRound(time_point Now) const -> bool;
  auto mayAnswerEarly() const -> bool;
  auto pageEnd() const -> std::size_t;
  auto cancelPending() const -> query_actions;
  auto finishIfDue(time_point Now) -> query_actions;
  auto finish() -> query_actions;
  auto refuse(result_code Code, std::string Detail) -> query_actions;
  auto addPage(query_answer &Answer) -> void;

  std::uint64_t Number;
  instance_id Coordinator;
  query_request Request;
  std::shared_ptr<const deployment> Deployment;
  const contract *Contract; ///< points into Deployment; null if unknown
  fingerprint Fingerprint;
  bool Suspect;

  time_point EarlyAt;
  time_point SubrequestDeadline; ///< deadline of subrequests
  time_point Deadline;
  time_point RoundStart; ///< when the present snapshot's subrequests were sent
  time_point VersionWaitEnd; ///< end of the wait for version reports
  pinned_snapshot Snapshot;
  /// The snapshot to restart at, at VersionWaitEnd at the latest.
  std::optional<pinned_snapshot> NextSnapshot;
  std::optional<continuation_token> Token;
  part_set Parts;
  std::set<target_id> CrashedTargets;
  std::uint32_t Attempts = 0;
  int RestartsLeft = 0;
  bool EarlierRoundMayHaveRun = false; ///< at an abandoned snapshot
  bool EarlyAtPassed = false;
  bool Started = false;
  bool Finished = false;
};

} // namespace tarragon::query
