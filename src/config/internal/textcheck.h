#pragma once

#include <cstddef>
#include <string_view>

namespace tarragon::config {

/// The position of the first byte that is no part of UTF-8 text, a NUL
/// included; the size of \p Text when all is well.
auto findBadByte(std::string_view Text) -> std::size_t;

} // namespace tarragon::config
