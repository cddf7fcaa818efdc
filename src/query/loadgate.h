#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <cstdint>
#include <map>

namespace tarragon::query {

/// Admission control for entire queries: decides before any subrequest is sent
/// whether a query may start.
///
/// Under overload each group refuses different queries, so that nearly every
/// answer lacks a shard. When queries lose shards to refusals, the gate admits
/// a smaller share of their contract's queries, so that admitted queries get
/// complete answers. A cut takes effect once the queues have drained, so only
/// one cut is made within a deadline. Many late answers mean that queues are
/// long and refusals imminent, and count like refusals. Queries of a lower
/// priority are refused before those of a higher one, but MinShare of each is
/// admitted, so that none is starved. Does no I/O and reads no clock; not
/// thread-safe.
class load_gate {
public:
  /// The signs of overload in a finished query.
  struct load_signals {
    bool Refused = false; ///< groups refused some of its subrequests
    bool Late = false;    ///< it used a large part of its deadline
    /// Deadline of its contract; upper bound of the queueing time.
    milliseconds Deadline{0};
  };

  /// Decides whether a query of \p Contract may start. \p Draw is a random
  /// number, uniform over all 64-bit values. \p Priority: 0 is the highest.
  auto admit(const contract_id &Contract, std::uint64_t Draw, time_point Now,
             int Priority = 0) -> bool;

  /// Records the end of a query that started at \p Started.
  auto onFinished(const contract_id &Contract, load_signals Signals,
                  time_point Started, time_point Now) -> void;

  /// Returns the share of queries that may start, from MinShare to 1.
  auto share(const contract_id &Contract) const -> double;

  static constexpr double MinShare = 0.05;

private:
  struct state {
    double Share = 1;
    double LateShare = 0; ///< exponential moving average
    time_point LastCut;
    time_point LastGrowth;
    /// Parts of the arrivals by priority, exponential moving averages.
    std::map<int, double> Arrivals;
  };

  static auto recordArrival(state &State, int Priority) -> void;
  /// Returns the share of the queries of \p Priority that may start, so that
  /// Share of all queries do.
  static auto shareOf(const state &State, int Priority) -> double;

  static auto cut(state &State, time_point Now) -> void;
  static auto grow(state &State, time_point Now) -> void;

  /// Only contracts whose share is below 1 or that recently had late answers.
  std::map<contract_id, state> States;
};

} // namespace tarragon::query
