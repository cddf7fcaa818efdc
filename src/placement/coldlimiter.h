#pragma once

#include "global/types/time.h"
#include "placement/types/coldlimits.h"
#include "placement/types/coldshare.h"
#include "placement/types/instanceview.h"
#include "route/types/coldstart.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragon::placement {

/// Bounds the requests to cold targets without messages between the instances.
///
/// A few instances may send to a cold target, chosen by rendezvous hashing of
/// target and instance over all that were seen serving in the last minute. Each
/// has a token bucket of capacity 1 and an equal share of the target's rate, so
/// that in any second the requests of all exceed the rate by at most their
/// number. That number uses half of the permitted excess; the rest covers
/// instances whose views differ and requests that arrive unevenly.
///
/// Instances learn of a change at different times. One that is newly chosen
/// therefore starts with an empty bucket after HandoverTime. An instance that
/// isn't heard any more may be cut off and still send: it keeps its share
/// unless it announced that it leaves, or most instances are still heard here.
/// So the smaller part of a partition keeps the shares that it had. Does no
/// I/O; not thread-safe.
class cold_limiter {
public:
  /// Sets the address of this instance, and whether no other can exist. One
  /// that knows no peer and may not be the only one sends nothing.
  auto setSelf(std::string Address, bool IsOnlyInstance) -> void;

  /// Without limits, nothing is bounded.
  auto setLimits(std::optional<cold_limits> NewLimits) -> void;

  auto isLimited() const -> bool { return Limits.has_value(); }

  /// Sets the rates that cold targets bear, by service; 0: no bound.
  auto setRates(const std::map<std::string, route::cold_start> &NewRates,
                time_point Now) -> void;

  /// Sets the instances seen at \p Now; to be called at least once a second,
  /// since a longer pause means that this instance stood still.
  auto observe(const instance_view &View, time_point Now) -> void;

  /// Sends nothing for HandoverTime, since the view may be outdated.
  auto hold(time_point Now) -> void;

  /// Makes target \p Id cold until \p Until unless it is cold for longer.
  /// \p IsNew tells that no request can have reached it yet.
  auto makeCold(const std::string &Id, const std::string &Service,
                time_point Until, bool IsNew, time_point Now) -> void;

  /// Drops a target that doesn't exist any more.
  auto forget(const std::string &Id) -> void { Targets.erase(Id); }

  /// Returns whether \p Id is a cold target with a bound to which this instance
  /// may send nothing now.
  auto isHeld(const std::string &Id, time_point Now) const -> bool;

  /// Takes the token for a request to \p Id.
  auto take(const std::string &Id, time_point Now) -> void;

  /// Returns the token of a request that didn't count at \p Id.
  auto refund(const std::string &Id, time_point Now) -> void;

  /// Returns when this instance may send to \p Id, which is held: at the next
  /// token or the end of the cold time.
  auto heldUntil(const std::string &Id, time_point Now) const -> time_point;

  /// Drops the targets that are no longer cold at \p Now and returns the others
  /// that have a bound, ordered by id.
  auto shares(time_point Now) -> std::vector<cold_share>;

  /// The views of instances agree within about a second of a change.
  static constexpr milliseconds HandoverTime{2000};
  /// How long an instance counts after it was last seen serving.
  static constexpr milliseconds MemoryTime{60000};

private:
  struct known_instance {
    time_point LastServing;
    bool IsLeaving = false;
  };
  struct cold_target {
    std::string Service;
    time_point Until;
    bool IsBound = false;
    bool IsChosen = false; ///< this instance may send
    double Rate = 0;       ///< tokens per second
    double Tokens = 0;     ///< at RefilledAt
    time_point RefilledAt; ///< in the future while this instance is held back
  };

  auto update(const std::string &Id, cold_target &Target) const -> void;
  auto updateAll(time_point Now) -> void;
  auto dropUnseen(const instance_view &View, time_point Now) -> bool;
  /// Returns whether this instance is among the first \p Count for target
  /// \p Id.
  auto isAmongFirst(const std::string &Id, std::size_t Count) const -> bool;
  static auto tokens(const cold_target &Target, time_point Now) -> double;

  std::string Self;
  bool IsOnlyInstance = false;
  bool HasHeardPeers = false;
  std::optional<cold_limits> Limits;
  std::map<std::string, route::cold_start> Rates;       ///< by service
  std::map<std::string, known_instance> Instances;      ///< by address
  std::unordered_map<std::string, cold_target> Targets; ///< by id
  time_point SettledAt; ///< end of the wait after the latest change
  std::optional<time_point> ObservedAt;
};

} // namespace tarragon::placement
