#pragma once

#include "world/types/contract.h"

#include <cstdint>
#include <vector>

namespace tarragon::report {

/// What happened to the requests of one contract in one window. A burn rate
/// of 1 spends the error budget exactly; 0 spends nothing.
struct burn_window {
  milliseconds Length{0};
  std::uint64_t Requests = 0;
  std::uint64_t LatencyMisses = 0;  ///< slower than the objective's latency
  std::uint64_t CoverageMisses = 0; ///< not complete
  double LatencyBurn = 0;
  double CoverageBurn = 0;

  auto operator==(const burn_window &) const -> bool = default;
};

/// The service-level burn of one contract.
struct burn_row {
  contract_id Contract;
  objective Objective;
  burn_window Short;
  burn_window Long;
  double LatencyBudgetLeft = 1;  ///< share of the long window's; below 0: over
  double CoverageBudgetLeft = 1; ///< likewise

  auto operator==(const burn_row &) const -> bool = default;
};

using burn_report = std::vector<burn_row>; ///< by contract id

} // namespace tarragon::report
