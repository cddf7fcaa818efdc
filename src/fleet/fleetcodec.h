#pragma once

#include "admission/types/crashreport.h"
#include "fleet/types/fleetdigest.h"
#include "membership/types/gossipmessage.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::fleet {

/// One datagram between instances.
struct fleet_datagram {
  membership::gossip_message Gossip;
  fleet_digest Digest;
  std::vector<admission::crash_report> Crashes; ///< seen by the sender
};

auto writeDatagram(const fleet_datagram &Datagram) -> std::string;

/// Nothing when \p Text is no datagram of an instance.
auto readDatagram(std::string_view Text) -> std::optional<fleet_datagram>;

} // namespace tarragon::fleet
