#pragma once

#include "global/types/time.h"

#include <cstdint>
#include <string>

namespace tarragon::route {

/// What a target says of itself.
struct target_entry {
  std::string Id;
  std::string Service;
  std::string Ip;
  std::uint16_t Port = 0;
  std::string FailureDomain;
  int Slots = 1;
  bool Draining = false;
  milliseconds ColdFor{0};   ///< how much longer it stays slow
  std::int64_t Born = 0;     ///< milliseconds of the Unix epoch
  std::int64_t Sequence = 0; ///< grows within one life
};

} // namespace tarragon::route
