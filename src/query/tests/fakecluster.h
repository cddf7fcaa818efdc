#pragma once

#include "query/tests/decisionscript.h"
#include "query/versiontable.h"
#include "world/types/queryanswer.h"
#include "world/types/queryrequest.h"
#include "world/types/settlement.h"

namespace tarragon::test {

/// Targets with real items, and a dispatcher that tries one of them.
class fake_cluster {
public:
  /// Every target holds the versions 1 and 2.
  explicit fake_cluster(decision_script &Script);

  /// A settlement as from a dispatcher that meets no fault but the lack of
  /// the version.
  auto serve(const subrequest &Request, decision_script &Script) const
      -> settlement;

  /// A new version, partitioned anew, reaches some targets.
  auto publish(decision_script &Script) -> void;
  /// A target drops its oldest version, unless it is its only one.
  auto dropOldest(decision_script &Script) -> void;
  /// The table hears some target.
  auto tell(query::version_table &Table, decision_script &Script) const -> void;

  /// The naive query: one shard after the other, then sort and cut.
  auto naiveAnswer(const query_request &Request, index_version Version,
                   std::size_t Offset) const -> query_answer;

  deployment Deployment;
  index_version Newest = 2;

private:
  auto shardItems(const service_id &Service, index_version Version,
                  std::size_t Shard) const -> std::vector<item>;
  auto randomTarget(decision_script &Script) const -> target_id;

  std::map<index_version, std::map<service_id, std::size_t>> Partition;
  std::map<target_id, std::vector<held_version>> Held;
  std::map<target_id, service_id> ServiceOf;
};

} // namespace tarragon::test
