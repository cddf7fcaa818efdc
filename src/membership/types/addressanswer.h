#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <vector>

namespace tarragon::membership {

/// One address a caller may use.
struct ranked_address {
  instance_id Instance;
  address Address;
  failure_domain Domain;
};

/// Where a caller should connect, best first, and for how long to keep that.
struct address_answer {
  std::vector<ranked_address> Addresses;
  milliseconds Lifetime{0};
};

} // namespace tarragon::membership
