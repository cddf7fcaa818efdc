#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstddef>
#include <vector>

namespace tarragon {

/// How the shards' answers are merged.
enum class merge_kind {
  TopK,   ///< items with the highest scores, ties by key
  Concat, ///< items in the order of services and shards
  ByKey   ///< only the shard selected by the request's key
};

/// How to answer if coverage is incomplete at the deadline: with a partial
/// answer, or with a refusal below the contract's minimum coverage.
enum class shortfall_policy { AnswerPartial, Refuse };

/// When to answer while shards are still pending.
enum class wait_policy {
  AnswerEarly, ///< as soon as the wanted coverage is reached and the
               ///< early-answer delay has passed
  WaitDeadline ///< once all shards have answered or at the deadline
};

/// The service level objective of a contract, for the burn report.
struct objective {
  milliseconds Latency{200};    ///< maximum latency that meets the objective
  double LatencyShare = 0.99;   ///< share of answers within Latency
  double CoverageShare = 0.999; ///< share of answers with full coverage

  auto operator==(const objective &) const -> bool = default;
};

/// A class of queries: the services queried, the time limits, and the coverage
/// and merge rules of its answers.
struct contract {
  contract_id Id;
  team_id Team;
  std::vector<service_id> Services; ///< all on the same index
  merge_kind Merge = merge_kind::TopK;
  std::size_t Limit = 10; ///< items per page; 0: no limit
  milliseconds Deadline{200};
  milliseconds EarlyAfter{0};  ///< AnswerEarly: earliest partial answer
  double WantedCoverage = 1.0; ///< AnswerEarly: share of shards to wait for
  double MinCoverage = 0.0;    ///< minimum coverage, as a share of shards
  shortfall_policy Shortfall = shortfall_policy::AnswerPartial;
  wait_policy Wait = wait_policy::WaitDeadline;
  double HedgeBudget = 0.05; ///< extra attempts per first attempt
  bool Repeatable = true;
  objective Objective;
  bool Public = false; ///< needs no key of a client account

  auto operator==(const contract &) const -> bool = default;
};

} // namespace tarragon
