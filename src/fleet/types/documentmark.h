#pragma once

#include <cstdint>

namespace tarragon::fleet {

/// The state of a copy of a shared document, in revisions of its source.
struct document_mark {
  std::uint64_t AsOf = 0;    ///< the copy has every change up to it
  std::uint64_t Changed = 0; ///< revision of the newest change in the copy

  /// Returns whether a copy at this mark has a change that a copy at \p Mine
  /// lacks. An instance without a copy lacks any, also one that never changed.
  auto isNewerThan(const document_mark &Mine) const -> bool {
    return Changed > Mine.AsOf || (Mine.AsOf == 0 && AsOf > 0);
  }
};

} // namespace tarragon::fleet
