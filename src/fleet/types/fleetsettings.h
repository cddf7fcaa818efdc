#pragma once

#include "world/types/instance.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::fleet {

/// What an instance is told of itself and its peers at its start.
struct fleet_settings {
  instance Self;                  ///< PeerAddress takes datagrams
  std::uint16_t DocumentPort = 0; ///< of every instance, for documents
  std::vector<std::string> SeedIps;
};

} // namespace tarragon::fleet
