#pragma once

#include "world/types/contract.h"

#include <cstdint>
#include <vector>

namespace tarragon::report {

/// Request counts and burn rates of one contract over one window. A burn rate
/// of 1 uses up the error budget exactly within the window; 0 uses none of it.
struct burn_window {
  milliseconds Length{0};
  std::uint64_t Requests = 0;
  std::uint64_t LatencyMisses = 0;  ///< over the objective's latency
  std::uint64_t CoverageMisses = 0; ///< answered incompletely or not at all
  double LatencyBurn = 0;
  double CoverageBurn = 0;

  auto operator==(const burn_window &) const -> bool = default;
};

/// The error budget burn of one contract.
struct burn_row {
  contract_id Contract;
  objective Objective;
  burn_window Short;
  burn_window Long;
  /// The fraction of the long window's error budget that is left; negative if
  /// the budget is exceeded.
  double LatencyBudgetLeft = 1;
  double CoverageBudgetLeft = 1;

  auto operator==(const burn_row &) const -> bool = default;
};

/// One row per contract, sorted by contract id.
using burn_report = std::vector<burn_row>;

} // namespace tarragon::report
