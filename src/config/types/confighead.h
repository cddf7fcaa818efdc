#pragma once

#include "world/types/ids.h"

#include <string>
#include <vector>

namespace tarragon::config {

/// An accepted change, as recorded in the head.
struct accepted_change {
  config_version Version = 0;
  std::string ChangeId;
  std::string Operator;
  std::string ContentHash;

  auto operator==(const accepted_change &) const -> bool = default;
};

/// The value of the object `config/head`: the change in force and the ones
/// accepted before it. Writing it accepts a change.
struct config_head {
  accepted_change InForce; ///< version 0: none accepted yet
  std::size_t Chunks = 0;  ///< number of objects that the content is split into
  std::vector<accepted_change> Recent; ///< newest first, InForce included

  auto operator==(const config_head &) const -> bool = default;
};

} // namespace tarragon::config
