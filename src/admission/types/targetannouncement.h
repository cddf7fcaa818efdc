#pragma once

namespace tarragon::admission {

/// The state of a target as announced outside the answers to attempts.
enum class target_announcement {
  Leaving, ///< draining, according to the platform's list, a peer or
           ///< the target
  Returned ///< listed as live. May be repeated. Takes effect only after the
           ///< maximum lag of the list if the target itself recently
           ///< answered that it drains
};

} // namespace tarragon::admission
