#pragma once

namespace tarragon::admission::internal {

/// Which of the requests in flight at a target its crash is attributed to.
enum class crash_attribution {
  All,     ///< each of them
  Suspect, ///< the suspect only; those beside it are presumed harmless
  Single   ///< the only request in flight
};

} // namespace tarragon::admission::internal
