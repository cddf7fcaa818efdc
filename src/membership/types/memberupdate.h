#pragma once

#include "world/types/instance.h"

#include <cstdint>

namespace tarragon::membership {

/// What one instance says of another (or of itself).
struct member_update {
  instance Instance; ///< its State is Live, Suspect or Dead, or Leaving for a
                     ///< live one that leaves

  /// Grows when the instance contradicts a suspicion; it orders the news of
  /// one life. The incarnation tells lives apart and never grows within one.
  std::uint64_t Refutation = 0;

  bool Leaving = false; ///< holds for the rest of the life, also when Suspect

  auto operator==(const member_update &) const -> bool = default;
};

} // namespace tarragon::membership
