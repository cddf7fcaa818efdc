#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::config {

/// Splits \p Text into chunks of at most \p MaxBytes bytes without splitting a
/// UTF-8 sequence. Returns at least one chunk.
auto splitContent(std::string_view Text, std::size_t MaxBytes)
    -> std::vector<std::string>;

} // namespace tarragon::config
