#pragma once

#include "config/types/configfault.h"

#include <string>
#include <utility>
#include <vector>

namespace YAML { // NOLINT(readability-identifier-naming)
class Node;
} // namespace YAML

namespace tarragon::config {

/// Collects the faults of one file, each with the place of its node.
class fault_list {
public:
  /// Adds a fault at the place of \p Node. Dropped when the list is full.
  auto add(const YAML::Node &Node, result_code Code, std::string Detail)
      -> void;

  /// Adds a fault at a line and column that count from 1.
  auto addAt(int Line, int Column, result_code Code, std::string Detail)
      -> void;

  /// Whether reading on is of no use.
  auto full() const -> bool;

  auto empty() const -> bool { return Faults.empty(); }

  /// Gives the faults away, in the order of their places.
  auto take() -> std::vector<config_fault>;

private:
  std::vector<config_fault> Faults;
};

} // namespace tarragon::config
