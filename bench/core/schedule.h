#pragma once

#include "bench/core/callrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::bench {

/// Parameters of a schedule of requests to one contract.
struct schedule_plan {
  contract_id Contract = "search";
  double PerSecond = 100;
  milliseconds Length{1000};
  bool Repeatable = true;
  bool WithKey = false;
  std::string Label; ///< prefix of every body; unique in an experiment
};

/// Returns a schedule with Poisson arrivals, determined by \p Plan and \p Seed.
auto makeSchedule(const schedule_plan &Plan, std::uint64_t Seed)
    -> std::vector<scheduled_call>;

} // namespace tarragon::bench
