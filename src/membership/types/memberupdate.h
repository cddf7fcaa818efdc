#pragma once

#include "world/types/instance.h"

#include <cstdint>

namespace tarragon::membership {

/// The state of an instance as another instance (or itself) reports it.
struct member_update {
  instance Instance; ///< its State is Live, Suspect or Dead, or Leaving for a
                     ///< live instance that leaves

  /// Increased by the instance when it refutes a suspicion; orders the updates
  /// of one incarnation. The incarnation changes only with a new process.
  std::uint64_t Refutation = 0;

  bool Leaving = false; ///< until the end of the incarnation, also when Suspect

  auto operator==(const member_update &) const -> bool = default;
};

} // namespace tarragon::membership
