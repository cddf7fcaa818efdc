#pragma once

#include "membership/internal/memberbook.h"
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

  /// The whole table, for a peer that knows far fewer.
  auto rows() const -> std::vector<member_update>;

  /// Takes a peer's whole table; what is new here is no news to tell on.
  auto takeRows(const std::vector<member_update> &Rows, time_point Now) -> void;

  /// Every instance known, itself included, by id.
  auto members() const -> std::vector<instance>;

  /// Grows whenever members() or newestConfig() may have changed.
  auto revision() const -> std::uint64_t {
    return Book.revision() + OwnRevision;
  }

  /// The highest configuration version any live peer told, and who.
  auto newestConfig() const
      -> std::optional<std::pair<instance, config_version>>;

  /// Whether any other instance answered within the suspicion time.
  auto reachesPeers(time_point Now) const -> bool;

  /// Whether a peer knows a later life of this instance's id.
  auto replaced() const -> bool { return Replaced; }

private:
  struct probe {
    instance_id Target;
    time_point Deadline;
    bool Contact = false;  ///< not a live member: silence proves nothing
    bool Indirect = false; ///< others were asked already
  };

  /// A probe made for another instance that got no answer itself.
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
  auto addAccusation(const instance &To, std::vector<member_update> &Updates)
      -> void;
  auto addRows(std::vector<member_update> &Rows) -> void;
  auto digest() const -> std::uint64_t;

  auto take(const member_update &Update, time_point Now) -> void;
  auto takeOther(const member_update &Update, time_point Now)
      -> member_book::change;
  auto takeOwn(const member_update &Update) -> void;
  auto onPing(const gossip_message &Message, messages &Out) -> void;
  auto onAck(const gossip_message &Message, time_point Now, messages &Out)
      -> void;
  auto onPingRequest(const gossip_message &Message, time_point Now,
                     messages &Out) -> void;

  auto forgiveAfterPause(time_point Now) -> void;
  auto runProbeDeadlines(time_point Now, messages &Out) -> void;
  auto startProbes(time_point Now, messages &Out) -> void;
  auto ping(const instance &To, bool Contact, time_point Now, messages &Out)
      -> void;
  auto askAgain(std::uint64_t Sequence, const instance &About, messages &Out)
      -> void;
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
  member_book Book;
  probe_round Round;
  update_queue Queue;
  std::map<std::uint64_t, probe> Probes; ///< by sequence
  std::map<std::uint64_t, relay> Relays; ///< by sequence
  std::uint64_t NextSequence = 1;
  instance_id LastRow;     ///< the last of the table's rows sent
  instance_id LastContact; ///< the last contact probed
  time_point NextPeriod;
  std::optional<time_point> LastAnswer;
};

} // namespace tarragon::membership
