#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstddef>
#include <vector>

namespace tarragon {

/// How shards' answers become one.
enum class merge_kind {
  TopK,   ///< best items by score, ties by key
  Concat, ///< items in the order of services and shards
  ByKey   ///< one shard only, chosen by the request's key
};

/// What to answer short of full coverage at the deadline.
enum class shortfall_policy { AnswerPartial, Refuse };

/// When to answer while shards are still missing.
enum class wait_policy {
  AnswerEarly, ///< as soon as the wanted coverage is reached and the
               ///< early-answer delay has passed
  WaitDeadline ///< only when all answered or the deadline comes
};

/// What share of requests must meet what, for the burn report.
struct objective {
  milliseconds Latency{200};
  double LatencyShare = 0.99;
  double CoverageShare = 0.999; ///< share of answers with full coverage

  auto operator==(const objective &) const -> bool = default;
};

/// A class of query: where it goes, how long it may take, what it promises.
struct contract {
  contract_id Id;
  team_id Team;
  std::vector<service_id> Services; ///< all of one index
  merge_kind Merge = merge_kind::TopK;
  std::size_t Limit = 10; ///< items of one page
  milliseconds Deadline{200};
  milliseconds EarlyAfter{0}; ///< AnswerEarly: earliest partial answer
  double WantedCoverage = 1.0;
  double LeastCoverage = 0.0;
  shortfall_policy Shortfall = shortfall_policy::AnswerPartial;
  wait_policy Wait = wait_policy::WaitDeadline;
  double HedgeBudget = 0.05; ///< extra attempts per first attempt
  bool Repeatable = true;
  objective Objective;

  auto operator==(const contract &) const -> bool = default;
};

} // namespace tarragon
