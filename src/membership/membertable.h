#pragma once

#include "membership/types/gossipmessage.h"
#include "membership/types/membershipsettings.h"
#include "world/types/instance.h"

#include <optional>
#include <vector>

namespace tarragon::membership {

/// Who is alive, by direct and indirect probes with incarnations and
/// suspicion before death. Pure; not locked.
class member_table {
public:
  member_table(instance Self, membership_settings Settings, std::uint64_t Seed,
               time_point Now);

  /// Takes the platform's list: a source of contacts, not of the truth.
  auto adoptInstanceList(const std::vector<instance> &List, time_point Now)
      -> void;

  auto setConfig(config_version Version) -> void;

  auto onMessage(const gossip_message &Message, time_point Now)
      -> std::vector<outgoing_gossip>;
  auto onTimer(time_point Now) -> std::vector<outgoing_gossip>;
  auto nextWake() const -> time_point;

  /// Says to all that this instance leaves; it stays in the table.
  auto leave(time_point Now) -> std::vector<outgoing_gossip>;

  /// Every instance known, itself included, by id.
  auto members() const -> std::vector<instance>;

  /// The highest configuration version any live peer told, and who.
  auto newestConfig() const
      -> std::optional<std::pair<instance, config_version>>;

  /// Whether any other instance answered within the suspicion time.
  auto reachesPeers(time_point Now) const -> bool;
};

} // namespace tarragon::membership
