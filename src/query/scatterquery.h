#pragma once

#include "query/types/queryaction.h"
#include "world/types/deployment.h"
#include "world/types/queryrequest.h"
#include "world/types/settlement.h"

#include <memory>
#include <optional>

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

  auto finished() const -> bool;
};

} // namespace tarragon::query
