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

/// One query from its start to its single answer. Pure: time and views come in
/// as arguments, actions go out.
class scatter_query {
public:
  /// \p Number is unique among the queries of \p Root in its life.
  scatter_query(std::uint64_t Number, instance_id Root, query_request Request,
                std::shared_ptr<const deployment> Deployment,
                fingerprint Fingerprint, bool Suspect);

  /// Pins a snapshot and asks for every shard, or refuses at once.
  auto start(const version_table &Versions, time_point Now) -> query_actions;

  /// Takes the end of a subrequest; a stale or doubled one is dropped.
  auto onSettlement(const settlement &Settlement, const version_table &Versions,
                    time_point Now) -> query_actions;

  /// To be called at nextWake() or later.
  auto onTimer(time_point Now) -> query_actions;

  /// When onTimer() is due; nothing once finished.
  auto nextWake() const -> std::optional<time_point>;

  auto finished() const -> bool { return Finished; }

private:
  auto beginAt(pinned_snapshot Pinned, time_point Now) -> query_actions;
  auto continueAt(const version_table &Versions, time_point Now)
      -> query_actions;
  auto send(std::uint32_t Index) const -> send_subrequest;
  auto isCurrent(const subrequest_id &Id) const -> bool;
  auto recordFailure(const settlement &Settlement, attempt_outcome Outcome)
      -> void;
  auto mayAskAgain(const query_part &Part, const settlement &Settlement,
                   time_point Now) const -> bool;
  auto restart(const version_table &Versions, time_point Now)
      -> std::optional<query_actions>;
  auto restartAt(pinned_snapshot Other, time_point Now) -> query_actions;
  auto mayRestart(time_point Now) const -> bool;
  auto otherSnapshot(const version_table &Versions) const
      -> std::optional<pinned_snapshot>;
  auto timeForRound(time_point Now) const -> bool;
  auto enoughForEarly() const -> bool;
  auto pageEnd() const -> std::size_t;
  auto cancelPending() const -> query_actions;
  auto finishIfDue(time_point Now) -> query_actions;
  auto finish() -> query_actions;
  auto refuse(result_code Code, std::string Detail) -> query_actions;
  auto addPage(query_answer &Answer) -> void;

  std::uint64_t Number;
  instance_id Root;
  query_request Request;
  std::shared_ptr<const deployment> Deployment;
  const contract *Contract; ///< into Deployment; null when unknown
  fingerprint Fingerprint;
  bool Suspect;

  time_point EarlyAt;
  time_point SendBefore; ///< deadline of subrequests
  time_point Deadline;
  time_point RoundBegan;  ///< when the present snapshot's parts were asked
  time_point LearnBefore; ///< end of the wait for what targets hold
  pinned_snapshot Snapshot;
  std::optional<pinned_snapshot> Next; ///< to restart at by LearnBefore
  std::optional<continuation_token> Token;
  part_set Parts;
  std::set<target_id> CrashedTargets;
  std::uint32_t Attempts = 0;
  int RestartsLeft = 0;
  bool EarlierMayHaveRun = false; ///< a try at a snapshot given up
  bool EarlyPassed = false;
  bool Started = false;
  bool Finished = false;
};

} // namespace tarragon::query
