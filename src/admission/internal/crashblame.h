#pragma once

namespace tarragon::admission::internal {

/// Which of the requests in flight at a target may have crashed it.
enum class crash_blame {
  All,     ///< any of them
  Suspect, ///< the suspect among them; those beside it are taken as innocent
  Single   ///< the only one
};

} // namespace tarragon::admission::internal
