#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace tarragon::gateway {

/// One HTTP header field; a name may occur more than once in a message.
struct header_field {
  std::string Name;
  std::string Value;
};

using header_fields = std::vector<header_field>;

/// Returns the first value of \p Name (case-insensitive), or null. The pointer
/// refers into \p Fields.
auto findField(const header_fields &Fields, std::string_view Name)
    -> const std::string *;

/// Returns the first value of \p Name, or an empty string.
auto fieldOrEmpty(const header_fields &Fields, std::string_view Name)
    -> std::string;

} // namespace tarragon::gateway
