#pragma once

#include <functional>
#include <string>
#include <vector>

namespace tarragon::slopes {

/// A cost measured at several sizes, with its least-squares line.
struct slope {
  std::string Name;
  std::string Unit; ///< of the values
  std::string Per;  ///< unit of the sizes
  std::vector<double> Sizes;
  std::vector<double> Values;
  double Slope = 0;
  double Intercept = 0;
  double Residual = 0; ///< maximum distance from the line, in Unit
};

/// Measures \p Cost at each size and fits the line.
auto measure(std::string Name, std::string Unit, std::string Per,
             const std::vector<double> &Sizes,
             const std::function<double(std::size_t Size)> &Cost) -> slope;

/// Returns the CPU time of one call of \p Work in nanoseconds: the minimum of
/// several rounds of \p Calls calls, each divided by \p Calls.
auto processorTime(std::size_t Calls, const std::function<void()> &Work)
    -> double;

/// Returns the bytes on the heap that are allocated and not freed.
auto allocatedBytes() -> std::size_t;

auto memberSlopes() -> std::vector<slope>;
auto messageSlopes() -> std::vector<slope>;
auto stateSlopes() -> std::vector<slope>;
auto querySlopes() -> std::vector<slope>;

} // namespace tarragon::slopes
