#pragma once

#include "account/types/relayedreport.h"
#include "account/types/usagereport.h"
#include "global/types/time.h"

#include <map>
#include <vector>

namespace tarragon::account {

/// Decides which reports of usage are passed on to instances that don't receive
/// them from their sender.
///
/// Load pattern: a partition in which some instances reach all others and some
/// don't. Without relays, the shares of those that reach all are used by each
/// of the separated sides, and the sum exceeds the rate.
class usage_relays {
public:
  /// Records that a report arrived directly from \p From.
  auto onDirect(const address &From, const std::vector<missing_peer> &Missing,
                time_point Now) -> void;

  /// Returns the copies of a new report of \p Sender for those that asked this
  /// instance for them.
  auto copies(const address &Self, const address &Sender,
              std::uint64_t Incarnation, const usage_report &Report,
              time_point Now) const -> std::vector<relayed_report>;

  /// Returns the peers whose reports this instance is asked to relay.
  auto asked(const address &Self, time_point Now) const -> std::vector<address>;

  auto isMissing(const address &Peer, time_point Now) const -> bool;

  /// Returns the peer that is to relay the reports of \p Peer, which was last
  /// heard at \p HeardAt; empty: none is needed or none can.
  auto relayer(const address &Self, const address &Peer, time_point HeardAt,
               time_point Now) -> address;

  /// Forgets peers that haven't reported for long.
  auto advance(time_point Now) -> void;

private:
  struct source {
    time_point DirectAt;
    std::vector<missing_peer> Missing;
    address Relayer; ///< that this instance asks
    time_point AskedAt;
  };

  auto canRelay(const source &Candidate, const address &Peer,
                time_point Now) const -> bool;

  std::map<address, source> Sources;
};

} // namespace tarragon::account
