#pragma once

#include <cstddef>
#include <string_view>

namespace tarragon::config {

/// Returns the position of the first byte that is not valid UTF-8 or is NUL, or
/// the size of \p Text when there is none.
auto findInvalidByte(std::string_view Text) -> std::size_t;

} // namespace tarragon::config
