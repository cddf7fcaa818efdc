#pragma once

namespace tarragon::placement {

/// How a part of a query ended.
enum class part_end {
  Answered,
  GivenUp, ///< it was still being waited for; a target may have answered it
  Lost     ///< no target would have answered it
};

} // namespace tarragon::placement
