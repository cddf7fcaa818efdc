#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstdint>
#include <map>

namespace tarragon::query {

/// Decides for a whole query, before any shard is asked, whether it may start.
///
/// Under overload each group refuses other queries, so that nearly every
/// answer lacks a shard. The gate learns from queries that lost shards to
/// refusals and lets fewer of that contract start, so that those which start
/// are answered whole. A cut shows once the queues have drained: within one
/// deadline only one cut is made. When many answers are late, the
/// queues are long and refusals near: that counts as much. Pure; not locked.
class load_gate {
public:
  /// What an ended query tells of the load.
  struct query_end {
    bool Refused = false;     ///< groups refused some of its shards
    bool Late = false;        ///< it took a good part of its deadline
    milliseconds Deadline{0}; ///< of its contract: no queue is longer
  };

  /// Whether a query of \p Contract may start; \p Draw is uniform over all
  /// 64-bit numbers.
  auto admit(const contract_id &Contract, std::uint64_t Draw, time_point Now)
      -> bool;

  /// A query that began at \p Started ended.
  auto onFinished(const contract_id &Contract, query_end End,
                  time_point Started, time_point Now) -> void;

  /// The share of queries that may start, from LeastShare to 1.
  auto share(const contract_id &Contract) const -> double;

  static constexpr double LeastShare = 0.05;

private:
  struct state {
    double Share = 1;
    double LateShare = 0; ///< moving average
    time_point CutAt;
    time_point GrownAt;
  };

  static auto cut(state &State, time_point Now) -> void;
  static auto grow(state &State, time_point Now) -> void;

  std::map<contract_id, state> States; ///< those once cut
};

} // namespace tarragon::query
