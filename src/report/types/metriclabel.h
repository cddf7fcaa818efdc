#pragma once

#include <string>
#include <vector>

namespace tarragon::report {

/// One label of a metric; tells apart the series of one name.
struct metric_label {
  std::string Name;
  std::string Value;
};

using metric_labels = std::vector<metric_label>;

} // namespace tarragon::report
