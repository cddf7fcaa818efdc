#include "fleet/watcherselection.h"

#include "global/hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace tarragon::fleet {

namespace {

/// Shares of the permitted delay. The rest covers the calls of those that were
/// drawn and the spread of the change.
constexpr double StaleShare = 0.65;
constexpr double HelpShare = 0.35;
constexpr std::size_t MinHelpers = 4;
constexpr std::size_t MaxHelpers = 16;
/// Covers one call to the source.
constexpr milliseconds HelpTime{1500};
/// One in so many instances that called the source on request goes on watching.
constexpr unsigned ExtraShare = 4;
/// How long it does so.
constexpr milliseconds MinExtraTime{6000};
constexpr milliseconds MaxExtraTime{10000};
/// The expected number of callers in a slow slot.
constexpr std::size_t SlowDrawn = 8;
/// The number of instances that one assumes while it expects peers but knows
/// none. If it is too low, all call at a start.
constexpr std::size_t UnknownCount = 384;
/// The age that is reported while no answer is known.
constexpr milliseconds UnknownAge{3600000};

/// Orders instances of higher capacity first.
using rank = std::tuple<double, std::uint64_t>;

auto rankOf(const watcher_selection::candidate &Instance) -> rank {
  return {-Instance.Capacity, hash64(Instance.Id)};
}

} // namespace

watcher_selection::watcher_selection(candidate NewSelf,
                                     const milliseconds NewMaxDelay,
                                     const std::uint64_t Seed,
                                     const time_point Now)
    : Self(std::move(NewSelf)), MaxDelay(NewMaxDelay), Random(Seed),
      StartedAt(Now), LatestAnswer(Now - UnknownAge), AsksUntil(Now),
      ExtraUntil(Now), SlotEnd(Now) {}

auto watcher_selection::answerAge(const time_point Now) const -> milliseconds {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(Now - LatestAnswer));
}

auto watcher_selection::isStale(const time_point Now) const -> bool {
  return Now - std::max(LatestAnswer, StartedAt) > MaxDelay * StaleShare;
}

auto watcher_selection::onAnswer(const time_point Now) -> void {
  LatestAnswer = Now;
  HelpCount = 0;
  if (!isCalledUpon(Now) || Now < ExtraUntil || Random() % ExtraShare != 0)
    return;
  std::uniform_int_distribution<std::int64_t> Time(MinExtraTime.count(),
                                                   MaxExtraTime.count());
  ExtraUntil = Now + milliseconds(Time(Random));
}

auto watcher_selection::onFailure(const time_point Now) -> std::size_t {
  AsksUntil = Now;
  if (Now - LatestAnswer < MaxDelay * HelpShare) {
    HelpCount = 0;
    return 0;
  }
  // Beyond MaxHelpers, the draws of all instances bound the calls.
  if (!IsRegular || HelpCount >= MaxHelpers)
    return 0;
  HelpCount = HelpCount == 0 ? MinHelpers : 2 * HelpCount;
  return HelpCount;
}

auto watcher_selection::onPeerAge(const milliseconds Age, const time_point Now)
    -> void {
  LatestAnswer = std::max(LatestAnswer, Now - std::max(Age, milliseconds(0)));
}

auto watcher_selection::onHelpRequest(const time_point Now) -> void {
  AsksUntil = std::max(AsksUntil, Now + HelpTime);
}

auto watcher_selection::isCalledUpon(const time_point Now) const -> bool {
  return Now < AsksUntil;
}

auto watcher_selection::isRegularWatcher(
    const std::vector<candidate> &Peers) const -> bool {
  const rank OwnRank = rankOf(Self);
  std::map<failure_domain, rank> HighestRanked{{Self.Domain, OwnRank}};
  std::vector<rank> Ranks;
  for (const candidate &Peer : Peers) {
    Ranks.push_back(rankOf(Peer));
    const auto Known =
        HighestRanked.try_emplace(Peer.Domain, Ranks.back()).first;
    Known->second = std::min(Known->second, Ranks.back());
  }
  // The highest ranked of each domain come first: one fault often takes a whole
  // domain.
  const bool IsFirst = HighestRanked.at(Self.Domain) == OwnRank;
  std::size_t Before = 0;
  for (std::size_t Index = 0; Index < Peers.size(); ++Index) {
    const bool IsPeerFirst =
        HighestRanked.at(Peers[Index].Domain) == Ranks[Index];
    if (IsPeerFirst == IsFirst ? Ranks[Index] < OwnRank : IsPeerFirst)
      ++Before;
  }
  return Before < WatcherCount;
}

auto watcher_selection::onPeerCount(const std::size_t Count) -> void {
  MostReported = std::max(MostReported, Count);
}

auto watcher_selection::hasHeard() const -> bool {
  return LatestAnswer > StartedAt - UnknownAge / 2;
}

auto watcher_selection::drawAtStart(const time_point Now) -> bool {
  if (Now < SlotEnd)
    return IsDrawnAtStart;
  SlotEnd = Now + StartSlotTime;
  const std::size_t Known = std::max(Instances, MostReported);
  const auto Count =
      static_cast<double>(ExpectsPeers && Known == 1 ? UnknownCount : Known);
  std::uniform_real_distribution<> Share(0, 1);
  IsDrawnAtStart = Share(Random) * Count < static_cast<double>(StartCallers);
  return IsDrawnAtStart;
}

auto watcher_selection::draw(const time_point Now) -> void {
  if (!isStale(Now)) {
    Slots = 0;
    return;
  }
  if (Now < SlotEnd)
    return;
  const bool IsFast = Slots < FastSlots;
  const std::size_t Grown =
      std::min(MaxDrawn, MinDrawn << std::min(Slots, FastSlots));
  ++Slots;
  const milliseconds Time = IsFast ? SlotTime : SlowSlotTime;
  SlotEnd = Now + Time;
  const auto Expected = static_cast<double>(IsFast ? Grown : SlowDrawn);
  std::uniform_real_distribution<> Share(0, 1);
  if (Share(Random) * static_cast<double>(Instances) < Expected)
    AsksUntil = std::max(AsksUntil, Now + HelpTime);
}

auto watcher_selection::setPeers(const std::vector<candidate> &Peers) -> void {
  Instances = Peers.size() + 1;
  IsRegular = isRegularWatcher(Peers);
}

auto watcher_selection::mustWatch(const time_point Now) -> bool {
  if (!hasHeard() && !isStale(Now))
    return drawAtStart(Now) || isCalledUpon(Now);
  draw(Now);
  return IsRegular || Now < ExtraUntil || isCalledUpon(Now);
}

} // namespace tarragon::fleet
