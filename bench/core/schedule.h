#pragma once

#include "bench/core/callrecord.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::bench {

/// How requests of one contract arrive.
struct schedule_plan {
  contract_id Contract = "search";
  double PerSecond = 100;
  milliseconds Length{1000};
  bool Repeatable = true;
  bool WithKey = false;
  std::string Label; ///< begins every body; unique in an experiment
};

/// Poisson arrivals after \p Plan, fixed by \p Seed.
auto makeSchedule(const schedule_plan &Plan, std::uint64_t Seed)
    -> std::vector<scheduled_call>;

} // namespace tarragon::bench
