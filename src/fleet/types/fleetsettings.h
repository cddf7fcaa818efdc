#pragma once

#include "global/types/time.h"
#include "world/types/instance.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tarragon::fleet {

/// The identity of an instance and the addresses of its peers.
struct fleet_settings {
  instance Self;                  ///< PeerAddress receives datagrams
  std::uint16_t DocumentPort = 0; ///< same on every instance
  std::vector<std::string> SeedIps;
  /// Time within which a change of a document must reach every instance.
  milliseconds MaxDocumentDelay{3000};
};

} // namespace tarragon::fleet
