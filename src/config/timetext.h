#pragma once

#include "global/types/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace tarragon::config {

/// Parses a whole number with a unit (us, ms, s, m, h), such as "200ms".
/// Returns nothing when \p Text has another form or exceeds 365 days.
auto parseTime(std::string_view Text) -> std::optional<microseconds>;

/// Formats \p Time in the largest unit that gives a whole number.
auto formatTime(microseconds Time) -> std::string;

} // namespace tarragon::config
