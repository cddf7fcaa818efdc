#pragma once

#include "global/types/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace tarragon::config {

/// Reads a whole number with a unit (us, ms, s, m, h), such as "200ms".
/// Nothing when it is not of that form or longer than a year.
auto parseTime(std::string_view Text) -> std::optional<microseconds>;

/// Writes \p Time with the greatest unit that keeps it a whole number.
auto formatTime(microseconds Time) -> std::string;

} // namespace tarragon::config
