#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::config {

/// Cuts \p Text into parts of at most \p Longest bytes, never inside a UTF-8
/// sequence; at least one part.
auto splitContent(std::string_view Text, std::size_t Longest)
    -> std::vector<std::string>;

} // namespace tarragon::config
