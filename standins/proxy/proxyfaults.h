#pragma once

#include "global/types/time.h"

#include <cstddef>
#include <cstdint>

namespace tarragon::standins {

/// Which direction of a connection loses what it carries.
enum class loss_kind { None, ToServer, FromServer };

/// What a proxy does to the connections through it.
struct proxy_faults {
  milliseconds Delay{0};          ///< of each chunk, both ways
  milliseconds Jitter{0};         ///< at most so much more, by the seed
  std::size_t DropAfterBytes = 0; ///< of a connection's replies; 0 is never
  bool HoldReplies = false;       ///< requests pass, replies wait
  bool Refuse = false;            ///< new connections are refused
  loss_kind Loss = loss_kind::None;
  std::uint64_t Generation = 0; ///< grows with each change
};

} // namespace tarragon::standins
