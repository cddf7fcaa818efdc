#include "placement/coldlimiter.h"

#include "global/hash.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace tarragon::placement {

namespace {

/// A longer time between two observations means that the process stood still.
constexpr milliseconds MaxObservationGap{3000};
/// Tolerates the rounding of a token that is exactly due.
constexpr double TokenTolerance = 1e-9;

using seconds = std::chrono::duration<double>;

} // namespace

auto cold_limiter::setSelf(std::string Address, const bool NewIsOnlyInstance)
    -> void {
  Self = std::move(Address);
  IsOnlyInstance = NewIsOnlyInstance;
}

auto cold_limiter::setLimits(std::optional<cold_limits> NewLimits) -> void {
  Limits = NewLimits;
  for (auto &[Id, Target] : Targets)
    update(Id, Target);
}

auto cold_limiter::setRates(
    const std::map<std::string, route::cold_start> &NewRates,
    const time_point Now) -> void {
  if (Rates == NewRates)
    return;
  Rates = NewRates;
  updateAll(Now);
}

auto cold_limiter::isAmongFirst(const std::string &Id,
                                const std::size_t Count) const -> bool {
  if (!Instances.contains(Self) || (!IsOnlyInstance && !HasHeardPeers))
    return false;
  const std::uint64_t Seed = hash64(Id);
  const auto OwnRank = std::pair(hash64(Self, Seed), std::string_view(Self));
  std::size_t Before = 0;
  for (const auto &[Address, Known] : Instances)
    Before +=
        std::pair(hash64(Address, Seed), std::string_view(Address)) > OwnRank;
  return Before < Count;
}

auto cold_limiter::update(const std::string &Id, cold_target &Target) const
    -> void {
  const auto Found = Rates.find(Target.Service);
  const double Rate =
      Found == Rates.end() ? 0 : Found->second.RequestsPerSecond;
  Target.IsBound = Limits && Rate > 0;
  if (!Target.IsBound)
    return;
  const double Bound = Rate * Limits->BurstFactor + Limits->Slack;
  const double Wanted = std::floor((Bound - Rate) / 2);
  const double Count =
      std::min(std::max(1.0, Wanted),
               std::max(1.0, static_cast<double>(Instances.size())));
  // With next to no permitted excess, the one token that may be saved up is
  // taken off the rate.
  Target.Rate = std::min(Rate / Count, Bound / Count - 1);
  Target.IsChosen =
      Target.Rate > 0 && isAmongFirst(Id, static_cast<std::size_t>(Count));
}

auto cold_limiter::updateAll(const time_point Now) -> void {
  for (auto &[Id, Target] : Targets) {
    const bool WasChosen = Target.IsChosen;
    Target.Tokens = tokens(Target, Now);
    Target.RefilledAt = std::max(Target.RefilledAt, Now);
    update(Id, Target);
    if (WasChosen || !Target.IsChosen)
      continue;
    Target.Tokens = 0;
    Target.RefilledAt = Now + HandoverTime;
  }
}

auto cold_limiter::hold(const time_point Now) -> void {
  SettledAt = Now + HandoverTime;
  for (auto &[Id, Target] : Targets) {
    Target.Tokens = 0;
    Target.RefilledAt = SettledAt;
  }
}

auto cold_limiter::dropUnseen(const instance_view &View, const time_point Now)
    -> bool {
  const std::set<std::string_view> Live(View.Live.begin(), View.Live.end());
  const auto Heard =
      std::count_if(Instances.begin(), Instances.end(), [&](const auto &Known) {
        return Live.contains(Known.first);
      });
  const bool HearsMost = 2 * static_cast<std::size_t>(Heard) > Instances.size();
  return std::erase_if(Instances, [&](const auto &Known) {
           return Now - Known.second.LastServing > MemoryTime &&
                  (HearsMost || Known.second.IsLeaving ||
                   Live.contains(Known.first));
         }) > 0;
}

auto cold_limiter::observe(const instance_view &View, const time_point Now)
    -> void {
  const bool StoodStill = ObservedAt && Now - *ObservedAt > MaxObservationGap;
  ObservedAt = Now;
  bool Changed = false;
  for (const std::string &Address : View.Serving) {
    const auto Known = Instances.try_emplace(Address);
    Changed = Changed || Known.second;
    Known.first->second = {Now, false};
  }
  for (const std::string &Address : View.Leaving)
    if (const auto Known = Instances.find(Address); Known != Instances.end())
      Known->second.IsLeaving = true;
  Changed = dropUnseen(View, Now) || Changed;
  const bool HearsPeers =
      std::any_of(View.Live.begin(), View.Live.end(),
                  [&](const std::string &Address) { return Address != Self; });
  const bool IsFirst = HearsPeers && !HasHeardPeers;
  HasHeardPeers = HasHeardPeers || HearsPeers;
  if (StoodStill || IsFirst)
    hold(Now);
  if (!Changed && !IsFirst)
    return;
  if (!IsOnlyInstance || Instances.size() > 1)
    SettledAt = Now + HandoverTime;
  updateAll(Now);
}

auto cold_limiter::makeCold(const std::string &Id, const std::string &Service,
                            const time_point Until, const bool IsNew,
                            const time_point Now) -> void {
  const auto Found = Targets.find(Id);
  const bool WasCold = Found != Targets.end() && Now < Found->second.Until;
  cold_target &Target = Targets[Id];
  Target.Until = std::max(Target.Until, Until);
  if (!WasCold) {
    Target.Tokens = IsNew && Now >= SettledAt ? 1 : 0;
    Target.RefilledAt = std::max(Now, SettledAt);
  }
  Target.Service = Service;
  update(Id, Target);
}

auto cold_limiter::tokens(const cold_target &Target, const time_point Now)
    -> double {
  if (Now <= Target.RefilledAt)
    return Target.Tokens;
  return std::min(1.0,
                  Target.Tokens +
                      seconds(Now - Target.RefilledAt).count() * Target.Rate);
}

auto cold_limiter::isHeld(const std::string &Id, const time_point Now) const
    -> bool {
  if (Targets.empty())
    return false;
  const auto Found = Targets.find(Id);
  if (Found == Targets.end() || !Found->second.IsBound ||
      Now >= Found->second.Until)
    return false;
  return !Found->second.IsChosen || Now < Found->second.RefilledAt ||
         tokens(Found->second, Now) < 1 - TokenTolerance;
}

auto cold_limiter::take(const std::string &Id, const time_point Now) -> void {
  const auto Found = Targets.find(Id);
  if (Found == Targets.end())
    return;
  Found->second.Tokens = std::max(0.0, tokens(Found->second, Now) - 1);
  Found->second.RefilledAt = std::max(Found->second.RefilledAt, Now);
}

auto cold_limiter::refund(const std::string &Id, const time_point Now) -> void {
  const auto Found = Targets.find(Id);
  if (Found == Targets.end() || !Found->second.IsChosen)
    return;
  Found->second.Tokens = std::min(1.0, tokens(Found->second, Now) + 1);
  Found->second.RefilledAt = std::max(Found->second.RefilledAt, Now);
}

auto cold_limiter::heldUntil(const std::string &Id, const time_point Now) const
    -> time_point {
  const auto Found = Targets.find(Id);
  if (Found == Targets.end())
    return Now;
  const cold_target &Target = Found->second;
  if (!Target.IsChosen)
    return Target.Until;
  const auto Wait = std::chrono::ceil<microseconds>(
      seconds((1 - tokens(Target, Now)) / Target.Rate));
  return std::min(Target.Until, std::max(Now, Target.RefilledAt) + Wait);
}

auto cold_limiter::shares(const time_point Now) -> std::vector<cold_share> {
  std::erase_if(Targets,
                [&](const auto &Each) { return Now >= Each.second.Until; });
  std::vector<cold_share> Shares;
  for (const auto &[Id, Target] : Targets)
    if (Target.IsBound)
      Shares.push_back({Id, Target.IsChosen ? Target.Rate : 0,
                        std::chrono::ceil<milliseconds>(Target.Until - Now)});
  std::sort(Shares.begin(), Shares.end(),
            [](const cold_share &Left, const cold_share &Right) {
              return Left.Target < Right.Target;
            });
  return Shares;
}

} // namespace tarragon::placement
