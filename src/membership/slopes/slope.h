#pragma once

#include <functional>
#include <string>
#include <vector>

namespace tarragon::slopes {

/// A cost measured at several sizes, with its line of least squares.
struct slope {
  std::string Name;
  std::string Unit; ///< of the values
  std::string Per;  ///< what a size counts
  std::vector<double> Sizes;
  std::vector<double> Values;
  double Slope = 0;
  double Intercept = 0;
  double Residual = 0; ///< the greatest distance from the line, in the unit
};

/// Measures \p Cost at each size and fits the line.
auto measure(std::string Name, std::string Unit, std::string Per,
             const std::vector<double> &Sizes,
             const std::function<double(std::size_t Size)> &Cost) -> slope;

/// Processor time of one call of \p Work in nanoseconds: the least of several
/// rounds of \p Calls calls.
auto processorTime(std::size_t Calls, const std::function<void()> &Work)
    -> double;

/// Bytes that this process has allocated and not yet freed.
auto allocatedBytes() -> std::size_t;

auto memberSlopes() -> std::vector<slope>;
auto messageSlopes() -> std::vector<slope>;
auto stateSlopes() -> std::vector<slope>;
auto querySlopes() -> std::vector<slope>;

} // namespace tarragon::slopes
