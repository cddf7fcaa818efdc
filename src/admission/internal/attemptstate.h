#pragma once

#include "admission/internal/requeststate.h"

#include <cstddef>

namespace tarragon::admission::internal {

/// An attempt that was started and has no result yet.
struct attempt_state {
  request_number Request = 0;
  std::size_t Target = 0; ///< position in the replica pool
  time_point StartedAt;
  fingerprint Fingerprint = 0;
  bool Suspect = false;
  bool Late = false;
  bool Cancelled = false;
  time_point SlotReleaseAt; ///< when the slot of a cancelled attempt is freed
};

} // namespace tarragon::admission::internal
