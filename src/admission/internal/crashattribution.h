#pragma once

namespace tarragon::admission::internal {

/// The requests in flight at a target that a crash of it is attributed to.
enum class crash_attribution {
  All,     ///< each of them
  Suspect, ///< the suspect only; those beside it are presumed harmless
  Single   ///< the only request in flight
};

} // namespace tarragon::admission::internal
