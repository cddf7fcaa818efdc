#pragma once

#include "world/types/ids.h"

#include <cstdint>

namespace tarragon::fleet {

/// An incarnation of a target that said that it leaves.
struct leaving_target {
  target_id Target;
  std::int64_t StartedAtMs = 0; ///< since the Unix epoch

  auto operator==(const leaving_target &) const -> bool = default;
};

} // namespace tarragon::fleet
