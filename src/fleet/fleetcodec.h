#pragma once

#include "account/types/usagereport.h"
#include "admission/types/crashreport.h"
#include "fleet/types/instancestatus.h"
#include "fleet/types/leavingtarget.h"
#include "membership/types/gossipmessage.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragon::fleet {

/// A gossip message with the sender's status and crash reports piggybacked.
struct fleet_datagram {
  membership::gossip_message Gossip;
  instance_status Status;
  std::vector<admission::crash_report> Crashes; ///< observed by the sender
  std::vector<leaving_target> Leaving;          ///< observed by the sender
  std::optional<account::usage_report> Usage;   ///< of client accounts
  /// Whether only the usage and the id and peer address of the sender are
  /// written.
  bool IsBrief = false;
};

auto writeDatagram(const fleet_datagram &Datagram) -> std::string;

/// Returns nullopt when \p Text is not a valid datagram.
auto readDatagram(std::string_view Text) -> std::optional<fleet_datagram>;

} // namespace tarragon::fleet
