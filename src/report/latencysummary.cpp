#include "report/latencysummary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <mutex>

namespace tarragon::report {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> QuantileShares{0.5, 0.9, 0.99, 0.999};

using quantile_estimator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

auto makeEstimator() -> quantile_estimator {
  return quantile_estimator(acc::extended_p_square_probabilities =
                                QuantileShares);
}

/// For n quantiles the P-square algorithm keeps its first 2 n + 3 samples
/// unsorted and has no valid estimates yet. Up to that many samples, quantiles
/// are computed exactly.
constexpr std::size_t MinSamples = 2 * QuantileShares.size() + 3;

} // namespace

struct latency_summary::state {
  mutable std::mutex Lock;
  std::uint64_t Count = 0;
  microseconds Sum{0};
  quantile_estimator Current = makeEstimator();
  /// The first samples of the current window, at most MinSamples.
  std::vector<double> FirstSamples;
  std::vector<quantile> LastQuantiles;

  auto currentQuantiles() const -> std::vector<quantile>;
};

auto latency_summary::state::currentQuantiles() const -> std::vector<quantile> {
  std::vector<quantile> Result;
  if (FirstSamples.empty())
    return Result;
  std::vector<double> Sorted = FirstSamples;
  std::sort(Sorted.begin(), Sorted.end());
  const bool Exact = acc::count(Current) <= FirstSamples.size();
  for (std::size_t Index = 0; Index < QuantileShares.size(); ++Index) {
    const auto Rank = static_cast<std::size_t>(
        QuantileShares[Index] * static_cast<double>(Sorted.size()));
    const double Value = Exact ? Sorted[std::min(Rank, Sorted.size() - 1)]
                               : acc::extended_p_square(Current)[Index];
    Result.push_back({QuantileShares[Index],
                      microseconds(static_cast<microseconds::rep>(Value))});
  }
  return Result;
}

latency_summary::latency_summary() : State(std::make_unique<state>()) {}
latency_summary::~latency_summary() = default;

auto latency_summary::observe(const microseconds Latency) -> void {
  const auto Value = static_cast<double>(Latency.count());
  const std::lock_guard Guard(State->Lock);
  ++State->Count;
  State->Sum += Latency;
  State->Current(Value);
  if (State->FirstSamples.size() < MinSamples)
    State->FirstSamples.push_back(Value);
}

auto latency_summary::rotate() -> void {
  const std::lock_guard Guard(State->Lock);
  State->LastQuantiles = State->currentQuantiles();
  State->Current = makeEstimator();
  State->FirstSamples.clear();
}

auto latency_summary::read() const -> reading {
  const std::lock_guard Guard(State->Lock);
  const bool HasLastQuantiles = !State->LastQuantiles.empty();
  return {State->Count, State->Sum,
          HasLastQuantiles ? State->LastQuantiles : State->currentQuantiles()};
}

} // namespace tarragon::report
