#pragma once

#include "world/types/ids.h"

namespace tarragon::store {

/// A target as the platform lists it; may be out of date.
struct listed_target {
  target_id Id;
  bool Leaving = false;
};

} // namespace tarragon::store
