#pragma once

#include <string>

namespace tarragon {

/// One result item of a query.
struct item {
  std::string Key;
  double Score = 0;
  std::string Body; ///< opaque to the system

  auto operator==(const item &) const -> bool = default;
};

} // namespace tarragon
