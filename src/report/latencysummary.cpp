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

constexpr std::array<double, 4> Shares{0.5, 0.9, 0.99, 0.999};

using quantile_set = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::extended_p_square>>;

auto emptySet() -> quantile_set {
  return quantile_set(acc::extended_p_square_probabilities = Shares);
}

/// The algorithm keeps its first samples unsorted: 2 n + 3 for n shares.
constexpr std::size_t LeastSamples = 2 * Shares.size() + 3;

} // namespace

struct latency_summary::state {
  mutable std::mutex Lock;
  std::uint64_t Count = 0;
  microseconds Sum{0};
  quantile_set Running = emptySet();
  std::vector<double> First; ///< the running window while it is small
  std::vector<quantile> Last;

  auto runningQuantiles() const -> std::vector<quantile>;
};

auto latency_summary::state::runningQuantiles() const -> std::vector<quantile> {
  std::vector<quantile> Result;
  if (First.empty())
    return Result;
  std::vector<double> Sorted = First;
  std::sort(Sorted.begin(), Sorted.end());
  const bool Exact = acc::count(Running) <= First.size();
  for (std::size_t Index = 0; Index < Shares.size(); ++Index) {
    const auto Rank = static_cast<std::size_t>(
        Shares[Index] * static_cast<double>(Sorted.size()));
    const double Value = Exact ? Sorted[std::min(Rank, Sorted.size() - 1)]
                               : acc::extended_p_square(Running)[Index];
    Result.push_back(
        {Shares[Index], microseconds(static_cast<microseconds::rep>(Value))});
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
  State->Running(Value);
  if (State->First.size() < LeastSamples)
    State->First.push_back(Value);
}

auto latency_summary::rotate() -> void {
  const std::lock_guard Guard(State->Lock);
  State->Last = State->runningQuantiles();
  State->Running = emptySet();
  State->First.clear();
}

auto latency_summary::read() const -> reading {
  const std::lock_guard Guard(State->Lock);
  const bool UseLast = !State->Last.empty();
  return {State->Count, State->Sum,
          UseLast ? State->Last : State->runningQuantiles()};
}

} // namespace tarragon::report
