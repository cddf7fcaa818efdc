#pragma once

#include "global/types/time.h"

#include <cstdint>
#include <string>

namespace tarragon::route {

/// The registration of a target, as announced by the target.
struct target_entry {
  std::string Id;
  std::string Service;
  std::string Ip;
  std::uint16_t Port = 0;
  std::string FailureDomain;
  int Slots = 1;
  bool Draining = false;
  milliseconds ColdFor{0};      ///< remaining slow start
  std::int64_t StartedAtMs = 0; ///< start, in milliseconds since the Unix epoch
  std::int64_t Sequence = 0;    ///< increases within one incarnation
  std::uint64_t Revision = 0;   ///< of this write at its source, if known
};

} // namespace tarragon::route
