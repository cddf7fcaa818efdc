#pragma once

#include "world/types/instance.h"

namespace tarragon::membership {

/// What one instance says of another (or of itself).
struct member_update {
  instance Instance;

  auto operator==(const member_update &) const -> bool = default;
};

} // namespace tarragon::membership
