#pragma once

#include "bench/core/callrecord.h"

#include <json/value.h>

#include <vector>

namespace tarragon::bench {

/// Collects pairs of a healthy and a disturbed window of one client (product or
/// baseline).
class paired_figures {
public:
  /// Adds a pair of windows.
  auto add(const std::vector<call_record> &Healthy,
           const std::vector<call_record> &Disturbed) -> void;

  /// Returns the medians over the pairs: p99_ratio (disturbed over healthy),
  /// p50_ms, p99_ms and complete of the disturbed windows, and healthy_p99_ms.
  auto figures() const -> Json::Value;

private:
  std::vector<double> Ratios;
  std::vector<double> HealthyTails;
  std::vector<double> Tails;
  std::vector<double> Medians;
  std::vector<double> CompleteShares;
};

} // namespace tarragon::bench
