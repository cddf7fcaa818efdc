#pragma once

#include "membership/internal/memberregistry.h"
#include "membership/internal/proberound.h"
#include "membership/internal/updatequeue.h"
#include "membership/types/gossipmessage.h"
#include "membership/types/membershipsettings.h"
#include "world/types/instance.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace tarragon::membership {

/// Tracks the live instances by the SWIM protocol: direct and indirect probes,
/// suspicion before death, refutation and piggybacked updates. Performs no I/O:
/// returns the messages to send. Not thread-safe.
class member_table {
public:
  member_table(instance Self, membership_settings Settings, std::uint64_t Seed,
               time_point Now);

  /// Adopts the platform's instance list as a source of contacts; it doesn't
  /// change the state of members.
  auto adoptInstanceList(const std::vector<instance> &List, time_point Now)
      -> void;

  auto setConfig(config_version Version) -> void;

  auto onMessage(const gossip_message &Message, time_point Now)
      -> std::vector<outgoing_gossip>;
  auto onTimer(time_point Now) -> std::vector<outgoing_gossip>;
  auto nextWake() const -> time_point;

  /// Announces that this instance leaves; it stays in the table.
  auto leave(time_point Now) -> std::vector<outgoing_gossip>;

  /// Returns the whole table, for a peer that has far fewer members.
  auto rows() const -> std::vector<member_update>;

  /// Applies rows of a peer's table. A member that is new to this table is not
  /// disseminated further.
  auto applyRows(const std::vector<member_update> &Rows, time_point Now)
      -> void;

  /// Returns all instances, this one included, ordered by id.
  auto members() const -> std::vector<instance>;

  /// Increases whenever members() or newestConfig() may have changed.
  auto revision() const -> std::uint64_t {
    return Registry.revision() + OwnRevision;
  }

  /// Returns the highest configuration version that a live peer reported, and
  /// that peer.
  auto newestConfig() const
      -> std::optional<std::pair<instance, config_version>>;

  /// Returns whether any other instance acknowledged a probe within the
  /// suspicion time.
  auto reachesPeers(time_point Now) const -> bool;

  /// Returns whether a peer reported a later incarnation of this instance's id.
  auto replaced() const -> bool { return Replaced; }

private:
  struct probe {
    instance_id Member;
    time_point Deadline;
    bool Contact = false;  ///< a missing ack causes no suspicion
    bool Indirect = false; ///< indirect pings were requested
  };

  /// An indirect probe on behalf of another instance whose ping got no ack.
  struct relay {
    instance Requester;
    std::uint64_t Sequence = 0;
    instance_id About;
    time_point Deadline;
  };

  using messages = std::vector<outgoing_gossip>;

  auto self() const -> instance;
  auto ownUpdate() const -> member_update;
  auto compose(gossip_kind Kind, std::uint64_t Sequence, const instance &To)
      -> gossip_message;
  auto addReceiverRecord(const instance &To,
                         std::vector<member_update> &Updates) -> void;
  auto addRows(std::vector<member_update> &Rows) -> void;
  auto digest() const -> std::uint64_t;

  auto applyUpdate(const member_update &Update, time_point Now) -> void;
  auto applyOther(const member_update &Update, time_point Now)
      -> member_registry::change;
  auto applyOwn(const member_update &Update) -> void;
  auto onPing(const gossip_message &Message, messages &Out) -> void;
  auto onAck(const gossip_message &Message, time_point Now, messages &Out)
      -> void;
  auto onPingRequest(const gossip_message &Message, time_point Now,
                     messages &Out) -> void;

  auto resetAfterPause(time_point Now) -> void;
  auto runProbeDeadlines(time_point Now, messages &Out) -> void;
  auto startProbes(time_point Now, messages &Out) -> void;
  auto ping(const instance &To, bool Contact, time_point Now, messages &Out)
      -> void;
  auto probeIndirectly(std::uint64_t Sequence, const instance &About,
                       messages &Out) -> void;
  auto probeContacts(time_point Now, messages &Out) -> void;
  auto suspect(const instance_id &Id, time_point Now, messages &Out) -> void;
  auto suspicionTime() const -> milliseconds;

  instance Self;
  std::uint64_t Refutation = 0;
  bool Leaving = false;
  bool Replaced = false;
  std::uint64_t OwnRevision = 0;
  config_version Config = 0;
  membership_settings Settings;
  std::mt19937_64 Random;
  member_registry Registry;
  probe_round Round;
  update_queue Queue;
  std::map<std::uint64_t, probe> Probes; ///< by sequence
  std::map<std::uint64_t, relay> Relays; ///< by sequence
  std::uint64_t NextSequence = 1;
  instance_id LastRow;     ///< the last row of the table sent
  instance_id LastContact; ///< the last contact probed
  time_point NextPeriod;
  std::optional<time_point> LastAck;
};

} // namespace tarragon::membership
