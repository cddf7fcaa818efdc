#pragma once

namespace tarragon::admission {

/// What a source other than an answer says of a target.
enum class target_sign {
  Leaving, ///< the platform's list, a peer or the target says it drains
  Returned ///< listed live; may be repeated, and waits out the list's lag when
           ///< the target itself answered lately that it drains
};

} // namespace tarragon::admission
