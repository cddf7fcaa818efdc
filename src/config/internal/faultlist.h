#pragma once

#include "config/types/configfault.h"

#include <string>
#include <utility>
#include <vector>

namespace YAML { // NOLINT(readability-identifier-naming)
class Node;
} // namespace YAML

namespace tarragon::config {

/// The faults of one file, each with the position of its node.
class fault_list {
public:
  /// Adds a fault at the position of \p Node; drops it when the list is full.
  auto add(const YAML::Node &Node, result_code Code, std::string Detail)
      -> void;

  /// Adds a fault at a line and column, both counted from 1.
  auto addAt(int Line, int Column, result_code Code, std::string Detail)
      -> void;

  /// Returns whether the list is full; parsing stops then.
  auto full() const -> bool;

  auto empty() const -> bool { return Faults.empty(); }

  /// Moves the faults out, sorted by position.
  auto take() -> std::vector<config_fault>;

private:
  std::vector<config_fault> Faults;
};

} // namespace tarragon::config
