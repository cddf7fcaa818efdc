#pragma once

#include "world/types/ids.h"

namespace tarragon {

/// A server that holds replicas of shards and runs requests on them.
struct target {
  target_id Id;
  address Address;
  failure_domain Domain;

  auto operator==(const target &) const -> bool = default;
};

} // namespace tarragon
