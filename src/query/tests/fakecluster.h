#pragma once

#include "query/tests/choicesequence.h"
#include "query/versiontable.h"
#include "world/types/queryanswer.h"
#include "world/types/queryrequest.h"
#include "world/types/settlement.h"

namespace tarragon::test {

/// A set of targets that hold items, and a dispatcher that returns one target's
/// answer.
class fake_cluster {
public:
  /// Creates targets that all hold the versions 1 and 2.
  explicit fake_cluster(choice_sequence &Choices);

  /// Returns the settlement of \p Request: answered by the first target tried
  /// that holds the version, or WrongVersion if none does.
  auto serve(const subrequest &Request, choice_sequence &Choices) const
      -> settlement;

  /// Adds a new version with new shard counts to some of the targets.
  auto publish(choice_sequence &Choices) -> void;
  /// Removes the oldest version of a random target, unless it is its only one.
  auto dropOldest(choice_sequence &Choices) -> void;
  /// Records the versions that a random target holds in \p Table.
  auto reportHeld(query::version_table &Table, choice_sequence &Choices) const
      -> void;

  /// Returns the reference answer: reads the shards one by one, then sorts and
  /// cuts the items.
  auto referenceAnswer(const query_request &Request, index_version Version,
                       std::size_t Offset) const -> query_answer;

  deployment Deployment;
  index_version Newest = 2;

private:
  auto shardItems(const service_id &Service, index_version Version,
                  std::size_t Shard) const -> std::vector<item>;
  auto randomTarget(choice_sequence &Choices) const -> target_id;

  std::map<index_version, std::map<service_id, std::size_t>> Partition;
  std::map<target_id, std::vector<held_version>> Held;
  std::map<target_id, service_id> ServiceOf;
};

} // namespace tarragon::test
