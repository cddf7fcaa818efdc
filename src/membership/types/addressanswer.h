#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <vector>

namespace tarragon::membership {

/// The caller address of an instance.
struct ranked_address {
  instance_id Instance;
  address Address;
  failure_domain Domain;
};

/// The addresses a caller should use, best first, and how long they are valid.
struct address_answer {
  std::vector<ranked_address> Addresses;
  milliseconds Lifetime{0};
};

} // namespace tarragon::membership
