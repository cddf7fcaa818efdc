#pragma once

#include "route/types/routeset.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tarragon::route {

/// Finds the route of a request in one version of the routes. Immutable.
class route_table {
public:
  explicit route_table(std::shared_ptr<const route_set> Set);

  /// Returns the route of \p Host, regardless of port and case, with the
  /// longest prefix of the path of \p RequestTarget, or null. The query string
  /// of \p RequestTarget is ignored.
  auto find(std::string_view Host, std::string_view RequestTarget) const
      -> const route *;

  auto set() const -> const route_set & { return *Set; }

private:
  /// Prefixes in descending order of their length.
  using by_prefix =
      std::map<std::size_t, std::unordered_map<std::string_view, const route *>,
               std::greater<>>;

  std::shared_ptr<const route_set> Set;
  std::unordered_map<std::string, by_prefix> Hosts;
};

} // namespace tarragon::route
