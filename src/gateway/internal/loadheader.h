#pragma once

#include "placement/types/toldload.h"

#include <optional>
#include <string_view>

namespace tarragon::gateway::internal {

/// Parses the load that a target reports: `running,waiting,slots` or
/// `running,waiting,slots,pace`, all non-negative integers without spaces; a
/// pace of 100 is usual. Returns nothing for any other text, for no slots, a
/// pace of 0, or a number that no target can have.
auto parseLoad(std::string_view Text) -> std::optional<placement::told_load>;

} // namespace tarragon::gateway::internal
