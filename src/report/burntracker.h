#pragma once

#include "report/types/burnrow.h"
#include "report/types/burnsettings.h"

#include <map>
#include <vector>

namespace tarragon::report {

/// Counts what each contract's requests made of its objective over a short and
/// a long window. Pure; not locked.
class burn_tracker {
public:
  explicit burn_tracker(burn_settings Settings = {});

  /// Takes the contracts in force. Counts stay; those of contracts that are
  /// gone are dropped.
  auto setContracts(const std::vector<contract> &Contracts) -> void;

  /// A request ended. Refusals and failures are not complete. A contract that
  /// is not in force is passed over.
  auto record(const contract_id &Contract, microseconds Latency, bool Complete,
              time_point Now) -> void;

  /// The rows of all contracts in force.
  auto report(time_point Now) const -> burn_report;

private:
  struct bucket {
    std::int64_t Number = -1; ///< the time over the bucket's length
    std::uint64_t Requests = 0;
    std::uint64_t LatencyMisses = 0;
    std::uint64_t CoverageMisses = 0;
  };

  struct track {
    objective Objective;
    std::vector<bucket> Ring;
  };

  auto bucketNumber(time_point Now) const -> std::int64_t;
  auto sum(const track &Track, milliseconds Length, time_point Now) const
      -> burn_window;

  burn_settings Settings;
  std::map<contract_id, track> Tracks;
};

/// The rows of several instances as one report: counts add up, rates and
/// budgets are computed again. Rows of one contract must share an objective.
auto mergeBurn(const std::vector<burn_report> &Reports) -> burn_report;

} // namespace tarragon::report
