// The shares of the rates that this instance and its peers refill at.
#include "account/quotaledger.h"

#include "account/internal/ratedecay.h"

#include <algorithm>
#include <limits>

namespace tarragon::account {

namespace {

using internal::seconds;

/// Part of a window after which a cut off instance counts on peers that don't
/// know of it. Instances that start together use the whole tolerance, but for
/// its margin, a window after they have started; those that start before it is
/// cut off still hear it.
constexpr double IsolationPart = 0.9;
/// An instance that adopted the levels also adopts the share at which its peers
/// refill, until shares that were reserved at that time are released.
constexpr std::chrono::seconds AdoptedFractionTime{60};

} // namespace

auto quota_ledger::isForgotten(const time_point Now) const -> bool {
  const milliseconds Isolated = Group.isolatedFor(Now);
  // An instance that started shortly before may not have heard all others, so
  // that its share is too large.
  const bool IsNew = Now - Isolated - KnownSince < Limits.Window;
  return Isolated > Limits.Window * IsolationPart ||
         (IsNew && Isolated.count() > 0 && Group.heard() == 0);
}

auto quota_ledger::maxRate(const account_usage &Usage,
                           const time_point Now) const -> double {
  if (!isForgotten(Now))
    return std::numeric_limits<double>::infinity();
  // The margin of the tolerance, divided between all instances: each of them
  // may be cut off from all others.
  const auto All = static_cast<double>(Group.silent() + 1);
  return Usage.Parts.Floors / seconds(Limits.Window).count() / All;
}

auto quota_ledger::shares() const -> shared_bucket::shares {
  return {fraction(), Group.pools()};
}

auto quota_ledger::fraction() const -> double {
  double Own = Group.heardShare();
  if (RestoreAt && Group.heard() > 0) {
    // An instance that none of those that started together hears may still use
    // its share.
    const auto Size = static_cast<double>(Group.size());
    Own = std::min(Own, Size / (Size + 1));
  }
  if (!HasAdoptedFraction)
    return Own;
  const double Reported = reportedFraction();
  return std::min(Own, Reported > 0 ? Reported : AdoptedFraction);
}

auto quota_ledger::reportedFraction() const -> double {
  // The highest one: a peer that lost a datagram of another reserves that
  // one's share for a moment.
  double Reported = 0;
  for (const auto &[Address, Peer] : Group.peers())
    if (Peer.IsMember && Peer.Reserved <= 0 && Peer.KnowsLevels)
      Reported = std::max(Reported, Peer.Fraction);
  return Reported;
}

auto quota_ledger::adoptFraction(const time_point Now) -> void {
  HasAdoptedFraction = true;
  AdoptedFraction = reportedFraction();
  AdoptedUntil = Now + AdoptedFractionTime;
  if (AdoptedFraction > 0)
    return;
  // All peers have adopted it, too: those that tracked the shares have ended.
  // It expires when theirs does, or it would be passed round forever.
  AdoptedFraction = 1;
  for (const auto &[Address, Peer] : Group.peers()) {
    if (!Peer.IsMember || Peer.Reserved > 0 || Peer.AdoptedUntil <= Now)
      continue;
    AdoptedUntil = AdoptedFraction < 1
                       ? std::max(AdoptedUntil, Peer.AdoptedUntil)
                       : Peer.AdoptedUntil;
    AdoptedFraction = std::min(AdoptedFraction, Peer.AdoptedFraction);
  }
}

auto quota_ledger::refillRate(const account_usage &Usage,
                              const time_point Now) const -> double {
  return std::min(maxRate(Usage, Now),
                  Usage.Bucket.rate() * std::max(fraction(), 1e-3));
}

auto quota_ledger::refillAll(const shared_bucket::shares &Before,
                             const time_point Now) -> void {
  for (auto &[Hash, Usage] : Usages)
    Usage.Bucket.refill(Before, Now, maxRate(Usage, Now));
}

} // namespace tarragon::account
