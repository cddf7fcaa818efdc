#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace tarragon::gateway {

/// One header line; a name may come more than once.
struct header_field {
  std::string Name;
  std::string Value;
};

using header_fields = std::vector<header_field>;

/// The first value of \p Name (case is ignored), or null.
auto findField(const header_fields &Fields, std::string_view Name)
    -> const std::string *;

/// The same, or an empty text.
auto fieldOrEmpty(const header_fields &Fields, std::string_view Name)
    -> std::string;

} // namespace tarragon::gateway
