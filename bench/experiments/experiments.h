#pragma once

#include "bench/core/session.h"

#include <span>
#include <string_view>

namespace tarragon::bench {

/// A named experiment.
struct experiment {
  std::string_view Name;
  experiment_result (*Run)(const session_options &Options);
};

/// Returns all experiments.
auto experiments() -> std::span<const experiment>;

auto runStraggler(const session_options &Options) -> experiment_result;
auto runLostReplica(const session_options &Options) -> experiment_result;
auto runOverload(const session_options &Options) -> experiment_result;
auto runOverhead(const session_options &Options) -> experiment_result;
auto runRepartition(const session_options &Options) -> experiment_result;
auto runAtMostOnce(const session_options &Options) -> experiment_result;
auto runPoison(const session_options &Options) -> experiment_result;
auto runLimits(const session_options &Options) -> experiment_result;
auto runConfig(const session_options &Options) -> experiment_result;
auto runRoll(const session_options &Options) -> experiment_result;
auto runOutage(const session_options &Options) -> experiment_result;
auto runSlopes(const session_options &Options) -> experiment_result;

/// Returns the result of an experiment that failed to start.
auto startFailure(const std::string &Error) -> experiment_result;

/// Returns the fraction \p Share of \p Whole.
auto shareOf(milliseconds Whole, double Share) -> milliseconds;

} // namespace tarragon::bench
