#pragma once

#include "world/types/ids.h"

namespace tarragon {

/// A back end that holds replicas of shards.
struct target {
  target_id Id;
  address Address;
  failure_domain Domain;

  auto operator==(const target &) const -> bool = default;
};

} // namespace tarragon
