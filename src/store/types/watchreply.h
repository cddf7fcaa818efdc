#pragma once

#include "store/types/storedobject.h"

#include <vector>

namespace tarragon::store {

/// What changed under a prefix since a revision.
struct watch_reply {
  std::uint64_t Revision = 0;         ///< where the next watch resumes
  std::vector<stored_object> Changed; ///< deleted ones with version 0
};

} // namespace tarragon::store
