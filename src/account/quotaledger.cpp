#include "account/quotaledger.h"

#include "account/internal/ratedecay.h"
#include "global/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace tarragon::account {

namespace {

using internal::decay;
using internal::LearnTime;
using internal::RateMemory;
using internal::seconds;

/// A peer that wasn't heard for it is silent: its usage is no longer
/// extrapolated, as its share is reserved instead.
constexpr milliseconds MaxExtrapolation{400};
/// Part of the allowance that is divided equally; the rest follows the usage.
constexpr double EqualPart = 0.5;
/// Longest time by which requests that wait for the levels are spread.
constexpr seconds MaxTurn{0.3};
/// Longest Retry-After of an account that isn't known to be over its quota.
constexpr seconds MaxWaitWithin{0.5};
/// Requests per second that are assumed in addition, as used equally: a single
/// request of a small account doesn't move the allowance to its instance.
constexpr double AssumedRate = 10;

auto roundUp(const seconds Time) -> milliseconds {
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(Time));
}

} // namespace

quota_ledger::quota_ledger(const quota_limits NewLimits) : Limits(NewLimits) {}

auto quota_ledger::setAccounts(const std::vector<route::account> &Accounts,
                               const time_point Now) -> void {
  if (!isActive()) {
    // Without a configuration, nothing has been admitted.
    const time_point Since = QuietSince.value_or(Now);
    const bool IsFirst = Round == 0;
    TickAt.reset();
    learnLevels(Now);
    if (IsFirst)
      QuietSince = Since;
  }
  advance(Now);
  usages Kept;
  for (const route::account &Account : Accounts) {
    if (!(Account.RatePerSecond > 0))
      continue;
    const std::uint64_t Hash = hash64(Account.Name);
    const auto Parts =
        quota_parts::of(Limits, Account.RatePerSecond, Account.Burst);
    // The least capacity with which a bucket ever admits a request.
    const double Capacity = std::max(1.0, Account.Burst + Parts.Capacity);
    const auto Known = Usages.find(Hash);
    if (Known == Usages.end()) {
      account_usage Usage{Account.Name, Parts,
                          shared_bucket(Account.RatePerSecond, Capacity, Now)};
      if (RestoreAt)
        Usage.Bucket.reset(Parts.Start); // like startEmpty()
      Kept.try_emplace(Hash, std::move(Usage));
      continue;
    }
    settle(Known->second, Now);
    Known->second.Parts = Parts;
    Known->second.Bucket.setLimit(Account.RatePerSecond, Capacity);
    Kept.insert(Usages.extract(Known));
  }
  Usages = std::move(Kept);
  std::erase_if(Dirty, [this](const std::uint64_t Hash) {
    return !Usages.contains(Hash);
  });
}

auto quota_ledger::setInstances(const quota_peers &NewPeers,
                                const time_point Now) -> void {
  // The peers learn by its next reports that it holds no share any more.
  if (!QuietSince)
    QuietSince = Now;
  if (Peers.IsServing && !NewPeers.IsServing)
    UsedAt = Now;
  if (!Peers.IsServing && NewPeers.IsServing && !KnowsLevels)
    UnknownSince = Now;
  Peers = NewPeers;
  Group.setPeers(Peers, Now);
  advance(Now);
}

auto quota_ledger::settle(account_usage &Usage, const time_point Now) -> void {
  Usage.Bucket.refill(shares(), Now, maxRate(Usage, Now));
}

auto quota_ledger::applySteps() -> void {
  for (const quota_group::step &Step : Group.takeSteps())
    for (auto &[Hash, Usage] : Usages) {
      if (Step.IsReserved)
        Usage.Bucket.reserve(Step.Pool.Id, Step.Part);
      else
        Usage.Bucket.release(Step.Pool, Step.Part);
    }
}

auto quota_ledger::advance(const time_point Now) -> void {
  const auto Before = shares();
  Group.advance(Now);
  Relays.advance(Now);
  if (Group.hasSteps()) {
    refillAll(Before, Now);
    applySteps();
  }
  updateKnowledge(Now);
}

auto quota_ledger::peerRate(const account_usage::peer_count &Count) const
    -> double {
  const quota_group::peer *Peer = Group.peerNumbered(Count.Peer);
  if (!Peer)
    return 0;
  return Count.Rate * decay(Peer->HeardAt - Count.At);
}

auto quota_ledger::unreported(const account_usage &Usage,
                              const time_point Now) const -> double {
  double Tokens = 0;
  for (const account_usage::peer_count &Count : Usage.Peers) {
    const quota_group::peer *Peer = Group.peerNumbered(Count.Peer);
    if (!Peer || Peer->Reserved > 0)
      continue;
    const seconds Age = std::min<std::chrono::steady_clock::duration>(
        Now - Peer->HeardAt, MaxExtrapolation);
    Tokens += peerRate(Count) * Age.count();
  }
  return Tokens;
}

auto quota_ledger::shiftRound(account_usage &Usage, const time_point Now) const
    -> void {
  if (Usage.Round == Round)
    return;
  const bool IsNext = Usage.Round + 1 == Round;
  const std::uint64_t Heard = IsNext ? Usage.CountAtRound : Usage.Count;
  const auto News = static_cast<double>(Heard - Usage.CountAtPreviousRound);
  Usage.OwnRate =
      Usage.OwnRate * decay(Now - Usage.OwnRateAt) + News / RateMemory.count();
  Usage.OwnRateAt = Now;
  Usage.CountAtPreviousRound = Heard;
  Usage.CountAtRound = Usage.Count;
  Usage.Round = Round;
}

auto quota_ledger::allowance(const account_usage &Usage, const double Level,
                             const time_point Now) const -> double {
  // After a start, the former processes may have used these parts.
  const double Fraction = RestoreAt ? 0 : fraction();
  const double Tokens =
      std::max(Level, 0.0) + unheard(Usage) + Usage.Parts.Delay * Fraction;
  const double Own = Usage.OwnRate * decay(Now - Usage.OwnRateAt);
  double All = Own + AssumedRate;
  for (const account_usage::peer_count &Count : Usage.Peers)
    All += peerRate(Count);
  const double Equal = 1 / static_cast<double>(Group.size());
  const auto AllowanceAt = [&](const double Rate) {
    const double ByUsage = (Rate + AssumedRate * Equal) / All;
    return Tokens * (EqualPart * Equal + (1 - EqualPart) * ByUsage);
  };
  const double Allowance = AllowanceAt(Own);
  if (Allowance >= 1)
    return Allowance;
  // Instances whose part is less than a request may admit one in the order of
  // their hashes, as many as the tolerance has tokens for.
  double Left = Tokens + Usage.Parts.Floors * Fraction;
  const std::uint64_t Account = hash64(Usage.Name);
  const std::uint64_t Position = hash64(Peers.Self) ^ Account;
  for (const auto &Entry : Group.peers()) {
    const quota_group::peer &Peer = Entry.second;
    if (!Peer.IsMember || Peer.Reserved > 0)
      continue;
    const auto Count = std::find_if(
        Usage.Peers.begin(), Usage.Peers.end(),
        [&Peer](const auto &Each) { return Each.Peer == Peer.Number; });
    const double PeerAllowance =
        AllowanceAt(Count == Usage.Peers.end() ? 0 : peerRate(*Count));
    if (PeerAllowance >= 1)
      Left -= PeerAllowance;
    else if ((Peer.Hash ^ Account) < Position)
      Left -= 1;
  }
  return Left >= 1 ? 1 : 0;
}

auto quota_ledger::unheard(const account_usage &Usage) -> double {
  return static_cast<double>(Usage.Count - Usage.CountAtPreviousRound);
}

auto quota_ledger::tryAcquire(const std::string_view Account,
                              const time_point Now, const double Kept)
    -> quota_decision {
  const auto Found = Usages.find(hash64(Account));
  if (Found == Usages.end())
    return {};
  account_usage &Usage = Found->second;
  UsedAt = Now;
  checkSuspension(Now);
  advance(Now);
  settle(Usage, Now);
  shiftRound(Usage, Now);
  if (!KnowsLevels) {
    const quota_decision Decision = acquireFloor(Usage, Now);
    if (!Decision.IsAdmitted) {
      ++Usage.Refused;
      return Decision;
    }
  } else {
    const double Level = Usage.Bucket.level() - unreported(Usage, Now);
    // The fraction bounds the level while peers are silent.
    const double Needed = 1 + Kept * Usage.Bucket.capacity() * fraction();
    if (Level < Needed) {
      ++Usage.Refused;
      const seconds Wait((Needed - Level) / refillRate(Usage, Now));
      // Silent instances hold the missing tokens: another one may admit it.
      const double Whole = Usage.Bucket.wholeLevel(Group.pools());
      const bool IsWithin = Whole - unreported(Usage, Now) >= Needed;
      return {false, roundUp(IsWithin ? std::min(Wait, MaxWaitWithin) : Wait)};
    }
    const double Allowance = Group.heard() > 0
                                 ? allowance(Usage, Level, Now)
                                 : std::numeric_limits<double>::infinity();
    if (unheard(Usage) + 1 > Allowance) {
      ++Usage.Refused;
      // Those of this round count for one more report.
      const auto InRound =
          static_cast<double>(Usage.Count - Usage.CountAtRound);
      return {false, InRound + 1 > Allowance && Allowance >= 1
                         ? 2 * ReportPeriod
                         : ReportPeriod};
    }
  }
  Usage.Bucket.take(1);
  if (Usage.Count == Usage.Reported)
    Dirty.push_back(Found->first);
  ++Usage.Count;
  return {};
}

auto quota_ledger::hasFloor(const std::uint64_t Hash,
                            const account_usage &Usage) const -> bool {
  if (Peers.Serving.empty())
    return true;
  // Selects as many of the instances that may start or wake at the same time
  // as there are tokens for floors.
  const std::size_t All = std::max(Peers.Serving.size() + 1, Peers.Live);
  const double Share = Usage.Parts.Floors / static_cast<double>(All);
  const std::string Key = Peers.Self + std::to_string(Hash);
  const double Position = std::ldexp(static_cast<double>(hash64(Key)), -64);
  return Position < Share;
}

auto quota_ledger::usedFloors(const account_usage &Usage) const -> double {
  double Tokens = 0;
  for (const account_usage::peer_count &Count : Usage.Peers) {
    const quota_group::peer *Peer = Group.peerNumbered(Count.Peer);
    if (Peer && Peer->IsFullyCounted && !Peer->KnowsLevels)
      Tokens += static_cast<double>(Count.Count);
  }
  return Tokens;
}

auto quota_ledger::acquireFloor(account_usage &Usage, const time_point Now)
    -> quota_decision {
  const double Others = usedFloors(Usage);
  const double AllFloors = Others + static_cast<double>(Usage.FloorCount);
  if (Now < Usage.FloorAt || !hasFloor(hash64(Usage.Name), Usage) ||
      (Others > 0 && AllFloors + 1 > Usage.Parts.Floors)) {
    // Each refused request waits for a token of its own, at this instance's
    // part of the rate.
    const double Waiting = static_cast<double>(++Usage.FloorRefused);
    const auto Instances = static_cast<double>(Group.size());
    const seconds Due((Waiting * Instances - Usage.Parts.Start) /
                      refillRate(Usage, Now));
    return {false,
            learnTime(Now) + roundUp(std::clamp(Due, seconds(0), MaxTurn))};
  }
  ++Usage.FloorCount;
  const double Instances =
      static_cast<double>(std::max({Peers.Live, Group.size(), std::size_t{2}}));
  seconds Pause(Instances / Usage.Bucket.rate());
  // An instance that started cut off knows no peer. If the one before it at its
  // address announced that it leaves, its peers use the whole rate.
  constexpr double MinFloors = 0.01;
  if (Peers.Serving.empty())
    Pause = std::max(Pause, seconds(Limits.Window) /
                                std::max(MinFloors, Usage.Parts.Floors));
  Usage.FloorAt = Now + std::chrono::ceil<std::chrono::nanoseconds>(Pause);
  return {};
}

auto quota_ledger::refund(const std::string_view Account, const time_point Now)
    -> void {
  const auto Found = Usages.find(hash64(Account));
  if (Found == Usages.end() || Found->second.Count == 0)
    return;
  account_usage &Usage = Found->second;
  settle(Usage, Now);
  shiftRound(Usage, Now);
  if (Usage.Count == Usage.Reported)
    Dirty.push_back(Found->first);
  --Usage.Count;
  Usage.CountAtRound = std::min(Usage.CountAtRound, Usage.Count);
  Usage.CountAtPreviousRound =
      std::min(Usage.CountAtPreviousRound, Usage.Count);
  Usage.Bucket.take(-1);
  if (!KnowsLevels && Usage.FloorCount > 0) {
    --Usage.FloorCount;
    Usage.FloorAt = Now;
  }
}

} // namespace tarragon::account
