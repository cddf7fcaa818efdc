#pragma once

#include <string>
#include <vector>

namespace tarragon::gateway {

/// One header line; a name may come more than once.
struct header_field {
  std::string Name;
  std::string Value;
};

using header_fields = std::vector<header_field>;

} // namespace tarragon::gateway
