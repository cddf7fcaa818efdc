#include "placement/targetset.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tarragon::placement {

namespace {

/// Prefers targets in the own failure domain at similar cost.
constexpr double OwnDomainCostFactor = 0.7;
/// The same preference among targets that report their load. It reduces the
/// work only, not the wait: a full target of the own failure domain costs more
/// than a free one in another.
constexpr double OwnDomainWorkShare = 0.5;
/// Reduces the cost in the own domain as far as a report counts in it. Without
/// it, the variation of reports moves attempts out of the own domain: 0.50 of
/// them stay instead of 0.58 at 144 instances and load 0.35.
constexpr double OwnDomainLoadDiscount = 0.25;
constexpr double SilentCostFactor = 20;
/// Of a target that gets only a share of the choices after its return.
constexpr double HeldBackCostFactor = 20;
/// Multiples of it spread evenly over [0, 1) when only their fraction counts.
constexpr double GoldenRatio = 0.6180339887498949;
/// The usable share of a target's connections. The rest covers handovers
/// between instances and attempts that are being closed.
constexpr double UsableConnectionShare = 0.8;
constexpr int DefaultMaxConnections = 32;
/// Bounds of the retry delay that a refused caller receives.
constexpr milliseconds MinRetryDelay{100};
constexpr milliseconds MaxRetryDelay{1000};
constexpr milliseconds MaxClosedRetryDelay{60000};
/// The slow start after an evacuation of a service that states none.
constexpr milliseconds DefaultReturnTime{3000};

} // namespace

target_set::target_set(std::string NewOwnDomain)
    : OwnDomain(std::move(NewOwnDomain)) {}

auto target_set::apply(const route::target_registry::changes &Changes,
                       const time_point Now) -> void {
  for (const route::target_registry::change &Change : Changes) {
    const route::target_entry *Entry = Registry.find(Change.Id);
    if (!Entry) {
      HealthByTarget.erase(Change.Id);
      Cold.forget(Change.Id);
      continue;
    }
    if (Change.Restarted || Change.Returned) {
      target_health &Health = HealthByTarget[Change.Id];
      Health = {};
      if (Change.Returned)
        Health.returnGradually(Now, Now + returnTime(Entry->Service));
      updateShares(*Entry);
    }
    if (Change.Cold) {
      if (Change.Restarted || Cold.isLimited())
        HealthByTarget[Change.Id].setSlowStartEnd(Now + Entry->ColdFor);
      Cold.makeCold(Entry->Id, Entry->Service, Now + Entry->ColdFor,
                    Change.Restarted, Now);
    }
  }
}

auto target_set::makeCold(const route::target_entry &Entry,
                          const milliseconds Time, const time_point Now)
    -> void {
  HealthByTarget[Entry.Id].setSlowStartEnd(Now + Time);
  Cold.makeCold(Entry.Id, Entry.Service, Now + Time, false, Now);
}

auto target_set::setColdStarts(
    std::map<std::string, route::cold_start> NewColdStarts,
    const time_point Now) -> void {
  ColdStarts = std::move(NewColdStarts);
  Cold.setRates(ColdStarts, Now);
}

auto target_set::recordSent(const std::string &Id, const time_point Now)
    -> void {
  HealthByTarget[Id].onSent(Now);
  Cold.take(Id, Now);
}

auto target_set::returnTime(const std::string &Service) const -> milliseconds {
  const auto Found = ColdStarts.find(Service);
  const bool IsStated =
      Found != ColdStarts.end() && Found->second.Duration > milliseconds(0);
  return IsStated ? Found->second.Duration : DefaultReturnTime;
}

auto target_set::updateShares(const route::target_entry &Entry) -> void {
  target_health &Health = HealthByTarget[Entry.Id];
  Health.setMaxOutstanding(connectionShare(Entry.Service));
  Health.setSlotShare(static_cast<double>(Instances) /
                      std::max(1, Entry.Slots));
  Health.load().setTrust(Trust);
}

auto target_set::connectionShare(const std::string &Service) const -> int {
  const auto Found = MaxConnections.find(Service);
  const int Max =
      Found == MaxConnections.end() ? DefaultMaxConnections : Found->second;
  return std::max(1, static_cast<int>(Max * UsableConnectionShare) / Instances);
}

auto target_set::setConnectionLimits(
    std::map<std::string, int> NewMaxConnections, const int NewInstances)
    -> void {
  MaxConnections = std::move(NewMaxConnections);
  Instances = std::max(1, NewInstances);
  for (auto &[Id, Health] : HealthByTarget)
    if (const route::target_entry *Entry = Registry.find(Id))
      updateShares(*Entry);
}

auto target_set::baseCost(const route::target_entry &Entry,
                          const target_health &Health,
                          const microseconds MedianLatency,
                          const time_point Now, const double RefusalCost) const
    -> double {
  double Cost = Health.cost(MedianLatency, Now, RefusalCost);
  const bool IsOwnDomain = Entry.FailureDomain == OwnDomain;
  if (IsOwnDomain)
    Cost *= OwnDomainCostFactor;
  if (!Health.load().told())
    return Cost;
  Cost = Health.costByLoad(Cost, IsOwnDomain ? OwnDomainWorkShare : 1,
                           MedianLatency, Now);
  if (IsOwnDomain)
    Cost *= 1 - OwnDomainLoadDiscount * Health.load().weight(Now);
  return Cost;
}

auto target_set::assess(const route::target_entry &Entry,
                        const microseconds MedianLatency,
                        const time_point Now) const -> target_assessment {
  static const target_health Unused;
  const auto Found = HealthByTarget.find(Entry.Id);
  const target_health &Health =
      Found == HealthByTarget.end() ? Unused : Found->second;
  target_assessment Assessment;
  Assessment.Health = Health.report(MedianLatency, Now);
  Assessment.IsHeldCold = Cold.isHeld(Entry.Id, Now);
  Assessment.IsAvailable =
      !Assessment.IsHeldCold && !Health.isUnavailable(MedianLatency, Now);
  Assessment.CostUs = baseCost(Entry, Health, MedianLatency, Now,
                               target_health::UsualRefusalCost);
  if (Health.isSilent(MedianLatency, Now))
    Assessment.CostUs *= SilentCostFactor;
  Assessment.ReturnShare = Health.returnShare(Now);
  return Assessment;
}

auto target_set::choose(const std::string &Service,
                        const std::vector<std::string> &Tried,
                        const microseconds MedianLatency, const time_point Now,
                        const double RefusalCost)
    -> const route::target_entry * {
  const auto &Usable = Registry.usable(Service);
  const route::target_entry *Best = nullptr;
  double LowestCost = std::numeric_limits<double>::max();
  ++Rotation;
  const double Draw = std::fmod(static_cast<double>(Rotation) * GoldenRatio, 1);
  for (std::size_t Step = 0; Step < Usable.size(); ++Step) {
    const route::target_entry *Entry =
        Usable[(Step + Rotation) % Usable.size()];
    if (std::find(Tried.begin(), Tried.end(), Entry->Id) != Tried.end())
      continue;
    const target_health &Health = HealthByTarget[Entry->Id];
    if (Health.isUnavailable(MedianLatency, Now) || Cold.isHeld(Entry->Id, Now))
      continue;
    double Cost = baseCost(*Entry, Health, MedianLatency, Now, RefusalCost);
    if (Health.load().told())
      Cost = Spread.apply(Cost, Health.load().weight(Now));
    if (Health.isSilent(MedianLatency, Now))
      Cost *= SilentCostFactor;
    if (Draw >= Health.returnShare(Now))
      Cost *= HeldBackCostFactor;
    if (Cost >= LowestCost)
      continue;
    LowestCost = Cost;
    Best = Entry;
  }
  return Best;
}

auto target_set::recordLoad(const std::string &Id,
                            const std::int64_t StartedAtMs,
                            const told_load &Load, const time_point Now)
    -> void {
  const route::target_entry *Entry = Registry.find(Id);
  if (Entry && Entry->StartedAtMs == StartedAtMs)
    HealthByTarget[Id].load().record(Load, Now);
}

auto target_set::isServiceDown(const std::string &Service,
                               const microseconds MedianLatency,
                               const time_point Now) const -> bool {
  const auto &Usable = Registry.usable(Service);
  return std::all_of(Usable.begin(), Usable.end(),
                     [&](const route::target_entry *Entry) {
                       if (Cold.isHeld(Entry->Id, Now))
                         return true;
                       const auto Found = HealthByTarget.find(Entry->Id);
                       return Found != HealthByTarget.end() &&
                              Found->second.isDown(MedianLatency, Now);
                     });
}

auto target_set::reopensAt(const std::string &Service,
                           const time_point Now) const
    -> std::optional<time_point> {
  std::optional<time_point> First;
  for (const route::target_entry *Entry : Registry.usable(Service)) {
    const auto Found = HealthByTarget.find(Entry->Id);
    if (Found == HealthByTarget.end())
      return std::nullopt;
    if (!Found->second.isClosed(Now))
      continue;
    const time_point At = Found->second.closedUntil();
    First = First ? std::min(*First, At) : At;
  }
  return First;
}

auto target_set::close(const std::string &Id, const time_point Until) -> void {
  if (Registry.find(Id))
    HealthByTarget[Id].close(Until);
}

auto target_set::expectedLatency(const std::string &Service,
                                 const microseconds MedianLatency,
                                 const time_point Now) const -> microseconds {
  double LowestCost = std::numeric_limits<double>::max();
  for (const route::target_entry *Entry : Registry.usable(Service)) {
    const auto Found = HealthByTarget.find(Entry->Id);
    if (Found == HealthByTarget.end())
      return MedianLatency;
    if (!Found->second.isUnavailable(MedianLatency, Now) &&
        !Cold.isHeld(Entry->Id, Now))
      LowestCost = std::min(LowestCost, Found->second.cost(MedianLatency, Now));
  }
  constexpr double MaxWaitUs = 3.6e9;
  return microseconds(
      static_cast<std::int64_t>(std::min(LowestCost, MaxWaitUs)));
}

auto target_set::retryDelay(const std::string &Service,
                            const time_point Now) const -> milliseconds {
  auto Shortest = MaxClosedRetryDelay;
  for (const route::target_entry *Entry : Registry.usable(Service)) {
    const auto Found = HealthByTarget.find(Entry->Id);
    const bool IsHeld = Cold.isHeld(Entry->Id, Now);
    time_point FreeAt = IsHeld ? Cold.heldUntil(Entry->Id, Now) : Now;
    if (Found != HealthByTarget.end())
      FreeAt = std::max(FreeAt, Found->second.blockedUntil());
    const auto Delay = std::chrono::ceil<milliseconds>(FreeAt - Now);
    // A block after a failure is a guess, the end of a closure is not.
    const bool IsClosed = IsHeld || (Found != HealthByTarget.end() &&
                                     Found->second.isClosed(Now));
    const auto MaxDelay = IsClosed ? MaxClosedRetryDelay : MaxRetryDelay;
    Shortest = std::min(Shortest, std::clamp(Delay, MinRetryDelay, MaxDelay));
  }
  return Registry.usable(Service).empty() ? MaxRetryDelay : Shortest;
}

} // namespace tarragon::placement
