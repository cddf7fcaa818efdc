#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace tarragon::standins {

/// The direction of a connection whose bytes are discarded.
enum class loss_kind { None, ToServer, FromServer };

/// The faults that a proxy injects into its connections.
struct proxy_faults {
  milliseconds Delay{0};          ///< of each chunk, in both directions
  milliseconds Jitter{0};         ///< maximum random extra delay of a chunk
  std::size_t DropAfterBytes = 0; ///< reply bytes before a cut; 0: no cut
  bool HoldReplies = false;       ///< requests pass, replies are held back
  bool Refuse = false;            ///< new connections are refused
  loss_kind Loss = loss_kind::None;
  std::uint64_t Generation = 0; ///< incremented with each change
};

} // namespace tarragon::standins
