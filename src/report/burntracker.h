#pragma once

#include "report/types/burnrow.h"
#include "report/types/burnsettings.h"

#include <map>
#include <vector>

namespace tarragon::report {

/// Counts the requests that miss their contract's objective over a short and a
/// long sliding window. Reads no clock; not thread-safe.
class burn_tracker {
public:
  explicit burn_tracker(burn_settings Settings = {});

  /// Replaces the contracts in force. Counts of remaining contracts are kept,
  /// counts of removed ones are dropped.
  auto setContracts(const std::vector<contract> &Contracts) -> void;

  /// Records the end of a request. \p Complete is false for rejected and failed
  /// requests, too. Requests of a contract that is not in force are ignored.
  auto record(const contract_id &Contract, microseconds Latency, bool Complete,
              time_point Now) -> void;

  /// Returns a row for each contract in force.
  auto report(time_point Now) const -> burn_report;

private:
  struct bucket {
    std::int64_t Number = -1; ///< time since the epoch / bucket length
    std::uint64_t Requests = 0;
    std::uint64_t LatencyMisses = 0;
    std::uint64_t CoverageMisses = 0;
  };

  struct contract_counts {
    objective Objective;
    std::vector<bucket> Ring;
  };

  auto bucketNumber(time_point Now) const -> std::int64_t;
  auto sumBuckets(const contract_counts &Counts, milliseconds Length,
                  time_point Now) const -> burn_window;

  burn_settings Settings;
  std::map<contract_id, contract_counts> CountsByContract;
};

/// Merges the reports of several instances: sums the counts and recomputes
/// rates and budgets. The rows of a contract must have the same objective.
auto mergeBurn(const std::vector<burn_report> &Reports) -> burn_report;

} // namespace tarragon::report
