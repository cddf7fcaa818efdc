#pragma once

#include <string>
#include <vector>

namespace tarragon::report {

/// A label of a metric. The series of one metric name differ in their labels.
struct metric_label {
  std::string Name;
  std::string Value;
};

using metric_labels = std::vector<metric_label>;

} // namespace tarragon::report
