#pragma once

#include "account/sharedbucket.h"
#include "account/types/quotapeers.h"
#include "account/types/reservedpool.h"
#include "account/types/usagereport.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace tarragon::account {

/// Tracks which peers share the quotas with this instance, and how much of the
/// rates is reserved for silent ones. A peer is identified by its address, so
/// that a new incarnation replaces the old one.
class quota_group {
public:
  struct peer {
    std::uint64_t Hash = 0;   ///< of its address
    std::uint32_t Number = 0; ///< identifies this incarnation in the ledger
    std::uint64_t Incarnation = 0;
    std::uint64_t FormerIncarnation = 0; ///< replaced by this one
    std::uint64_t Sequence = 0;          ///< of its last report; 0: none
    time_point HeardAt;
    time_point QuietSince; ///< admitted only from floors since then
    time_point ReturnedAt; ///< after it was silent
    time_point PreviousAt; ///< of the report before the last one
    bool IsListed = false; ///< as serving, in this instance's view
    bool IsMember = false; ///< holds a share of the rates
    bool KnowsLevels = false;
    bool IsFullyCounted = false; ///< an account without a count has 0
    bool HasSentLevels = false;  ///< since this instance needs them
    double Fraction = 1;         ///< that it refills at; 0: an adopted one
    double AdoptedFraction = 1;  ///< that it refills at if Fraction is 0
    time_point AdoptedUntil;     ///< when it stops using an adopted one
    double Reserved = 0;         ///< share reserved for it; above 0: silent
    std::uint32_t Pool = 0;      ///< in which it is reserved
  };

  /// A step of the reserved shares, to be applied to every bucket.
  struct step {
    bool IsReserved = false; ///< otherwise released
    reserved_pool Pool;      ///< before the step
    double Part = 0;         ///< of the level, or of the pool
  };

  /// Adds new serving peers; the others stay until they are released.
  auto setPeers(const quota_peers &Peers, time_point Now) -> void;

  /// Records a report of the peer at \p From. Incarnations differ, but have no
  /// order. Returns null for a late report.
  auto hear(const address &From, std::uint64_t Incarnation,
            const usage_report &Report, time_point Now) -> peer *;

  /// Releases the share of a peer that announced that it leaves.
  auto release(const address &Peer, std::uint64_t Incarnation) -> void;

  /// Reserves the shares of peers that became silent and releases those of
  /// peers that were silent for long.
  auto advance(time_point Now) -> void;

  /// Forgets what was heard, after a suspension.
  auto restart(time_point Now) -> void;

  /// Returns the steps since the last call, in order.
  auto takeSteps() -> std::vector<step>;
  auto hasSteps() const -> bool { return !Steps.empty(); }

  auto heard() const -> std::size_t;
  auto silent() const -> std::size_t;
  /// Returns the number of instances between which the heard share is divided,
  /// this one included.
  auto size() const -> std::size_t { return heard() + 1; }
  auto heardShare() const -> double;
  auto pools() const -> const std::vector<reserved_pool> & { return Pools; }
  auto peers() const -> const std::map<address, peer> & { return Peers; }
  /// Returns how long no report has arrived while shares are reserved for
  /// silent peers.
  auto isolatedFor(time_point Now) const -> milliseconds;
  auto peerNumbered(std::uint32_t Number) const -> const peer *;

private:
  auto leave(peer &Peer) -> void;
  auto expire(peer &Peer) -> void;
  auto reserve(peer &Peer, time_point Now) -> void;
  /// Returns the pool for peers that become silent now.
  auto openPool(time_point Now) -> reserved_pool &;
  auto unreserve(peer &Peer) -> void;
  /// Starts counting the peer's usage anew.
  auto renumber(peer &Peer) -> void;

  std::map<address, peer> Peers;
  std::unordered_map<std::uint32_t, const peer *> ByNumber;
  std::vector<step> Steps;
  std::vector<reserved_pool> Pools;
  std::uint32_t LastPool = 0;
  time_point PoolOpenedAt;
  time_point AnyHeardAt; ///< the last report of any instance
  std::uint32_t LastNumber = 0;
  bool IsServing = false;
};

} // namespace tarragon::account
