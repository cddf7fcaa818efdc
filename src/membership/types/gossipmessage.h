#pragma once

#include "membership/types/memberupdate.h"

#include <vector>

namespace tarragon::membership {

enum class gossip_kind { Ping, Ack, PingRequest };

/// A ping, an ack or a request for an indirect ping, with piggybacked updates.
struct gossip_message {
  gossip_kind Kind = gossip_kind::Ping;
  std::uint64_t Sequence = 0;
  instance From;                ///< its State is Live or Leaving
  std::uint64_t Refutation = 0; ///< of the sender; see member_update
  instance_id About;         ///< PingRequest and its Ack: the probed instance
  config_version Config = 0; ///< in force at the sender
  std::uint64_t Digest = 0;  ///< of the sender's live members; 0: absent
  std::vector<member_update> Updates;
  std::vector<member_update> Rows; ///< Ack: table rows for anti-entropy
};

/// A message and the instance it goes to.
struct outgoing_gossip {
  instance To;
  gossip_message Message;
};

} // namespace tarragon::membership
