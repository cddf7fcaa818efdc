#include "config/internal/faultlist.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <tuple>

namespace tarragon::config {

namespace {

/// Stops the parsing of files with very many faults, such as nested aliases
/// that expand exponentially.
constexpr std::size_t MaxFaults = 100;

} // namespace

auto fault_list::add(const YAML::Node &Node, const result_code Code,
                     std::string Detail) -> void {
  const YAML::Mark Mark = Node.Mark();
  addAt(std::max(Mark.line, 0) + 1, std::max(Mark.column, 0) + 1, Code,
        std::move(Detail));
}

auto fault_list::addAt(const int Line, const int Column, const result_code Code,
                       std::string Detail) -> void {
  if (!full())
    Faults.push_back({Code, Line, Column, std::move(Detail)});
}

auto fault_list::full() const -> bool { return Faults.size() >= MaxFaults; }

auto fault_list::take() -> std::vector<config_fault> {
  std::stable_sort(Faults.begin(), Faults.end(),
                   [](const config_fault &Left, const config_fault &Right) {
                     return std::tie(Left.Line, Left.Column) <
                            std::tie(Right.Line, Right.Column);
                   });
  return std::move(Faults);
}

} // namespace tarragon::config
