#pragma once

#include "store/types/storedobject.h"

#include <vector>

namespace tarragon::store {

/// The objects under a prefix that changed after a given revision.
struct watch_reply {
  std::uint64_t Revision = 0;         ///< to pass to the next watch
  std::vector<stored_object> Changed; ///< deleted objects have version 0
};

} // namespace tarragon::store
