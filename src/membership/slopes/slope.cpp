#include "slope.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <limits>
#include <numeric>

namespace tarragon::slopes {

namespace {

auto mean(const std::vector<double> &Values) -> double {
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         static_cast<double>(Values.size());
}

auto fitLine(slope &Slope) -> void {
  const double MeanSize = mean(Slope.Sizes);
  const double MeanValue = mean(Slope.Values);
  double Covariance = 0;
  double Variance = 0;
  for (std::size_t Index = 0; Index < Slope.Sizes.size(); ++Index) {
    const double Size = Slope.Sizes[Index] - MeanSize;
    Covariance += Size * (Slope.Values[Index] - MeanValue);
    Variance += Size * Size;
  }
  Slope.Slope = Covariance / Variance;
  Slope.Intercept = MeanValue - Slope.Slope * MeanSize;
  for (std::size_t Index = 0; Index < Slope.Sizes.size(); ++Index) {
    const double Line = Slope.Intercept + Slope.Slope * Slope.Sizes[Index];
    Slope.Residual =
        std::max(Slope.Residual, std::abs(Slope.Values[Index] - Line));
  }
}

auto processorNanoseconds() -> double {
  constexpr double PerSecond = 1e9;
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * PerSecond +
         static_cast<double>(Time.tv_nsec);
}

} // namespace

auto measure(std::string Name, std::string Unit, std::string Per,
             const std::vector<double> &Sizes,
             const std::function<double(std::size_t)> &Cost) -> slope {
  slope Slope{std::move(Name), std::move(Unit), std::move(Per), Sizes};
  for (const double Size : Sizes)
    Slope.Values.push_back(Cost(static_cast<std::size_t>(Size)));
  fitLine(Slope);
  return Slope;
}

auto processorTime(const std::size_t Calls, const std::function<void()> &Work)
    -> double {
  constexpr int Rounds = 7;
  double Shortest = std::numeric_limits<double>::max();
  for (int Round = 0; Round < Rounds; ++Round) {
    const double Start = processorNanoseconds();
    for (std::size_t Call = 0; Call < Calls; ++Call)
      Work();
    const double Spent = processorNanoseconds() - Start;
    Shortest = std::min(Shortest, Spent / static_cast<double>(Calls));
  }
  return Shortest;
}

auto allocatedBytes() -> std::size_t {
  const auto Heap = mallinfo2();
  return Heap.uordblks + Heap.hblkhd;
}

} // namespace tarragon::slopes
