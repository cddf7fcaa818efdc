#include "bench/core/pairedfigures.h"

#include "bench/core/stats.h"

namespace tarragon::bench {

namespace {

constexpr double Tail = 0.99;

} // namespace

auto paired_figures::add(const std::vector<call_record> &Healthy,
                         const std::vector<call_record> &Disturbed) -> void {
  const double HealthyTail = quantile(latencies(Healthy), Tail);
  const double DisturbedTail = quantile(latencies(Disturbed), Tail);
  Ratios.push_back(HealthyTail > 0 ? DisturbedTail / HealthyTail : 0);
  HealthyTails.push_back(HealthyTail);
  Tails.push_back(DisturbedTail);
  Medians.push_back(median(latencies(Disturbed)));
  CompleteShares.push_back(completeShare(Disturbed));
}

auto paired_figures::figures() const -> Json::Value {
  Json::Value Figures(Json::objectValue);
  Figures["p99_ratio"] = median(Ratios);
  Figures["healthy_p99_ms"] = median(HealthyTails);
  Figures["p99_ms"] = median(Tails);
  Figures["p50_ms"] = median(Medians);
  Figures["complete"] = median(CompleteShares);
  return Figures;
}

} // namespace tarragon::bench
