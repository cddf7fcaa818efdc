#pragma once

#include "bench/core/callrecord.h"

#include <json/value.h>

#include <vector>

namespace tarragon::bench {

/// Windows of one side (product or baseline), healthy and disturbed in turn.
class side_figures {
public:
  /// One pair of windows.
  auto add(const std::vector<call_record> &Healthy,
           const std::vector<call_record> &Disturbed) -> void;

  /// Medians over the pairs: p99_ratio (disturbed over healthy), p50_ms,
  /// p99_ms and complete of the disturbed windows, healthy_p99_ms.
  auto figures() const -> Json::Value;

private:
  std::vector<double> Ratios;
  std::vector<double> HealthyTails;
  std::vector<double> Tails;
  std::vector<double> Medians;
  std::vector<double> CompleteShares;
};

} // namespace tarragon::bench
