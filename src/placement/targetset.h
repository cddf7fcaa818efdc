#pragma once

#include "placement/choicespread.h"
#include "placement/coldlimiter.h"
#include "placement/newstrust.h"
#include "placement/targethealth.h"
#include "placement/types/targetassessment.h"
#include "route/targetregistry.h"
#include "route/types/coldstart.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragon::placement {

/// All targets with their observed health; chooses a target for each attempt.
/// Not thread-safe.
class target_set {
public:
  /// Targets in the failure domain \p OwnDomain are preferred at similar cost.
  explicit target_set(std::string OwnDomain);

  auto registry() -> route::target_registry & { return Registry; }
  auto registry() const -> const route::target_registry & { return Registry; }

  /// Applies changes of the registry: resets the health of new targets and of
  /// those that return from an evacuation, and drops that of removed ones.
  auto apply(const route::target_registry::changes &Changes, time_point Now)
      -> void;

  /// Limits the attempts in flight at each target to the usable share of its
  /// connections divided by \p Instances.
  auto setConnectionLimits(std::map<std::string, int> MaxConnections,
                           int Instances) -> void;

  /// Sets the bounds of cold targets, by service.
  auto setColdStarts(std::map<std::string, route::cold_start> NewColdStarts,
                     time_point Now) -> void;

  /// Returns the bounds of cold targets; a target that may not be sent to for
  /// that reason counts as down.
  auto cold() -> cold_limiter & { return Cold; }
  auto cold() const -> const cold_limiter & { return Cold; }

  /// Makes \p Entry cold for \p Time from now.
  auto makeCold(const route::target_entry &Entry, milliseconds Time,
                time_point Now) -> void;

  /// Records that an attempt at \p Id was sent.
  auto recordSent(const std::string &Id, time_point Now) -> void;

  /// Returns the available target of \p Service with the lowest cost that
  /// isn't in \p Tried, or null. A refusal costs \p RefusalCost median
  /// latencies.
  auto choose(const std::string &Service, const std::vector<std::string> &Tried,
              microseconds MedianLatency, time_point Now,
              double RefusalCost = target_health::UsualRefusalCost)
      -> const route::target_entry *;

  /// Returns how \p Entry compares with its siblings for a new attempt, without
  /// choosing it.
  auto assess(const route::target_entry &Entry, microseconds MedianLatency,
              time_point Now) const -> target_assessment;

  /// Seeds the order in which equally loaded targets are chosen. Instances that
  /// choose at the same moment must not have the same seed.
  auto setSpreadSeed(std::uint64_t Seed) -> void {
    Spread = choice_spread(Seed);
  }

  /// Records the load that the incarnation of \p Id that started at
  /// \p StartedAtMs reported. Ignored for an unknown one.
  auto recordLoad(const std::string &Id, std::int64_t StartedAtMs,
                  const told_load &Load, time_point Now) -> void;

  /// Returns how far reported loads are believed, from 0 to 1.
  auto newsTrust() const -> double { return Trust->value(); }

  /// Returns whether every target of \p Service is down, or there is none.
  auto isServiceDown(const std::string &Service, microseconds MedianLatency,
                     time_point Now) const -> bool;

  /// Returns when the first of the targets of \p Service that asked for no
  /// requests wants them again; nothing if one is not closed, or if there is
  /// none.
  auto reopensAt(const std::string &Service, time_point Now) const
      -> std::optional<time_point>;

  /// Records that target \p Id wants no requests until \p Until. Ignored for an
  /// unknown target.
  auto close(const std::string &Id, time_point Until) -> void;

  /// Returns the expected latency of a request to the best target of
  /// \p Service.
  auto expectedLatency(const std::string &Service, microseconds MedianLatency,
                       time_point Now) const -> microseconds;

  /// Returns how long a refused caller should wait before it retries: until
  /// the first target of \p Service is unblocked, within bounds.
  auto retryDelay(const std::string &Service, time_point Now) const
      -> milliseconds;

  /// Returns the health of target \p Id; creates it on first use.
  auto health(const std::string &Id) -> target_health & {
    return HealthByTarget[Id];
  }

  /// Returns the number of instances that share each target's connections.
  auto instances() const -> int { return Instances; }

  /// Returns this instance's share of the connections of each target of
  /// \p Service.
  auto connectionShare(const std::string &Service) const -> int;

private:
  /// Returns the cost of an attempt at \p Entry, before the deviation that
  /// spreads the choices among reported loads.
  auto baseCost(const route::target_entry &Entry, const target_health &Health,
                microseconds MedianLatency, time_point Now,
                double RefusalCost) const -> double;
  auto updateShares(const route::target_entry &Entry) -> void;
  /// Returns how long a target of \p Service is loaded slowly after an
  /// evacuation.
  auto returnTime(const std::string &Service) const -> milliseconds;

  std::string OwnDomain;
  route::target_registry Registry;
  /// By target id.
  std::unordered_map<std::string, target_health> HealthByTarget;
  cold_limiter Cold;
  std::map<std::string, int> MaxConnections;
  std::map<std::string, route::cold_start> ColdStarts; ///< by service
  int Instances = 1;
  std::size_t Rotation = 0; ///< rotates among targets of equal cost
  choice_spread Spread{0};
  std::shared_ptr<news_trust> Trust = std::make_shared<news_trust>();
};

} // namespace tarragon::placement
