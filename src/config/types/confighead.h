#pragma once

#include "world/types/ids.h"

#include <string>
#include <vector>

namespace tarragon::config {

/// An accepted change, as the head remembers it.
struct accepted_change {
  config_version Version = 0;
  std::string ChangeId;
  std::string Operator;
  std::string ContentHash;

  auto operator==(const accepted_change &) const -> bool = default;
};

/// The value of the object `config/head`: which change is in force. Writing
/// it is what accepts a change.
struct config_head {
  accepted_change InForce;             ///< version 0: none yet
  std::size_t Chunks = 0;              ///< objects that hold the content
  std::vector<accepted_change> Recent; ///< newest first, InForce included

  auto operator==(const config_head &) const -> bool = default;
};

} // namespace tarragon::config
