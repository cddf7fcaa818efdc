#include "bench/experiments/experiments.h"

#include <array>

namespace tarragon::bench {

auto experiments() -> std::span<const experiment> {
  static constexpr std::array Table{
      experiment{"straggler", runStraggler},
      experiment{"lostreplica", runLostReplica},
      experiment{"overload", runOverload},
      experiment{"overhead", runOverhead},
      experiment{"repartition", runRepartition},
      experiment{"atmostonce", runAtMostOnce},
      experiment{"poison", runPoison},
      experiment{"limits", runLimits},
      experiment{"config", runConfig},
      experiment{"roll", runRoll},
      experiment{"outage", runOutage},
      experiment{"slopes", runSlopes},
  };
  return Table;
}

auto startFailure(const std::string &Error) -> experiment_result {
  experiment_result Result;
  Result.Violations.push_back("not started: " + Error);
  return Result;
}

auto shareOf(const milliseconds Whole, const double Share) -> milliseconds {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Whole.count()) * Share));
}

} // namespace tarragon::bench
