#pragma once

#include "global/types/time.h"
#include "world/types/instance.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace tarragon::fleet {

/// The identity of an instance and the addresses of its peers.
struct fleet_settings {
  instance Self;                  ///< PeerAddress receives datagrams
  std::uint16_t DocumentPort = 0; ///< same on every instance
  std::vector<std::string> SeedIps;
  /// Names of the documents that this instance distributes; others that peers
  /// mention are ignored.
  std::set<std::string> Documents;
  /// Those of them that instances of earlier builds don't know. Their marks are
  /// sent in a field that such builds ignore: they would take an unknown
  /// document for one that they know.
  std::set<std::string> LaterDocuments;
  /// Time within which a change of a document must reach every instance.
  milliseconds MaxDocumentDelay{3000};
};

} // namespace tarragon::fleet
