#pragma once

#include "global/types/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace tarragon::placement {
struct admission_decision;
} // namespace tarragon::placement

namespace tarragon::report {
class metric_counter;
class metrics_registry;
} // namespace tarragon::report

namespace tarragon::gateway {

/// Counts and logs the scattered queries that were refused because they were
/// not likely to be answered in time.
class query_refusals {
public:
  explicit query_refusals(report::metrics_registry &Metrics);

  /// Records a refusal. Writes at most one log line a second, with the inputs
  /// of the decision and the number of refusals since the previous line.
  auto record(const std::string &Route, const std::string &RequestId,
              const placement::admission_decision &Decision, time_point Now)
      -> void;

  auto count() const -> std::uint64_t { return Count; }

private:
  report::metric_counter &Counter;
  std::uint64_t Count = 0;
  std::uint64_t LoggedCount = 0;
  std::optional<time_point> LoggedAt;
};

} // namespace tarragon::gateway
