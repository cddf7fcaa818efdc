#pragma once

#include <cstdint>

namespace tarragon::fleet {

/// How new a copy of a shared document is, in revisions of its source.
struct document_mark {
  std::uint64_t AsOf = 0;    ///< every change up to it is in the copy
  std::uint64_t Changed = 0; ///< the newest change in the copy

  /// Whether a copy marked so holds a change that \p Mine lacks.
  auto isNewsFor(const document_mark &Mine) const -> bool {
    return Changed > Mine.AsOf;
  }
};

} // namespace tarragon::fleet
