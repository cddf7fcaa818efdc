#pragma once

#include "global/types/time.h"

#include <string>

namespace tarragon::placement {

/// The requests that this instance may send to a cold target, for the status
/// view.
struct cold_share {
  std::string Target;
  double RequestsPerSecond = 0; ///< 0: nothing
  milliseconds Remaining{0};    ///< of the cold time
};

} // namespace tarragon::placement
