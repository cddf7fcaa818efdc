#include "account/quotagroup.h"

#include "global/hash.h"

#include <algorithm>
#include <utility>

namespace tarragon::account {

namespace {

/// Four reports of an instance that admits requests.
constexpr milliseconds MaxSilence{400};
/// After it, an instance that doesn't come back has ended.
constexpr std::chrono::seconds ReserveTime{60};
/// Peers that hold no share are forgotten after it.
constexpr milliseconds GuestTime{1500};
/// Marks a peer as silent that had no share left to reserve.
constexpr double MinShare = 1e-9;

} // namespace

auto quota_group::setPeers(const quota_peers &New, const time_point Now)
    -> void {
  IsServing = New.IsServing;
  for (auto &[Address, Peer] : Peers)
    Peer.IsListed = false;
  for (const address &Address : New.Serving) {
    const auto [At, IsNew] = Peers.try_emplace(Address);
    peer &Peer = At->second;
    if (IsNew) {
      Peer.Hash = hash64(Address);
      renumber(Peer);
    }
    Peer.IsListed = true;
    if (Peer.IsMember)
      continue;
    // A peer that says itself that it doesn't serve holds no share, unless it
    // falls silent.
    const bool IsHeard = Peer.HeardAt + MaxSilence >= Now;
    if (!IsHeard)
      Peer.HeardAt = Now;
    Peer.IsMember = Peer.Sequence == 0 || !IsHeard;
  }
}

auto quota_group::hear(const address &From, const std::uint64_t Incarnation,
                       const usage_report &Report, const time_point Now)
    -> peer * {
  peer &Peer = Peers.try_emplace(From).first->second;
  const bool IsNew = Peer.Sequence == 0 || Incarnation != Peer.Incarnation;
  const bool IsLate = IsNew ? Incarnation == Peer.FormerIncarnation
                            : Report.Sequence <= Peer.Sequence;
  if (IsLate)
    return nullptr;
  if (Peer.Reserved > 0)
    Peer.ReturnedAt = Now;
  unreserve(Peer);
  if (IsNew) {
    const peer Former = Peer;
    ByNumber.erase(Former.Number);
    Peer = {};
    Peer.Hash = hash64(From);
    Peer.IsListed = Former.IsListed;
    renumber(Peer);
    Peer.Incarnation = Incarnation;
    Peer.FormerIncarnation = Former.Incarnation;
    Peer.IsFullyCounted = Report.NeedsLevels;
    Peer.HeardAt = Now;
    Peer.Pool = Former.Pool;
    Peer.ReturnedAt = Former.ReturnedAt;
  }
  AnyHeardAt = Now;
  Peer.Sequence = Report.Sequence;
  Peer.PreviousAt = Peer.HeardAt;
  Peer.HeardAt = Now;
  Peer.KnowsLevels = !Report.NeedsLevels;
  Peer.QuietSince = Now - Report.QuietFor;
  Peer.Fraction = Report.Fraction;
  Peer.AdoptedFraction = Report.AdoptedFraction;
  Peer.AdoptedUntil = Now + Report.AdoptedFor;
  Peer.IsMember = Report.IsServing;
  return &Peer;
}

auto quota_group::release(const address &Address,
                          const std::uint64_t Incarnation) -> void {
  const auto Found = Peers.find(Address);
  if (Found != Peers.end() && Found->second.Incarnation == Incarnation)
    leave(Found->second);
}

auto quota_group::leave(peer &Peer) -> void {
  unreserve(Peer);
  Peer.IsMember = false;
  Peer.IsListed = false;
}

auto quota_group::expire(peer &Peer) -> void {
  leave(Peer);
  // Its admissions meanwhile came from a share that was released: if it is
  // heard again, its levels count, not its increments.
  renumber(Peer);
  Peer.IsFullyCounted = false;
}

auto quota_group::renumber(peer &Peer) -> void {
  ByNumber.erase(Peer.Number);
  Peer.Number = ++LastNumber;
  ByNumber[Peer.Number] = &Peer;
}

auto quota_group::heardShare() const -> double {
  double Share = 1;
  for (const reserved_pool &Pool : Pools)
    Share -= Pool.Share;
  return std::max(Share, 0.0);
}

auto quota_group::openPool(const time_point Now) -> reserved_pool & {
  if (Pools.empty() || Pools.back().Id != LastPool ||
      Now - PoolOpenedAt > MaxSilence) {
    Pools.push_back({++LastPool, 0});
    PoolOpenedAt = Now;
  }
  return Pools.back();
}

auto quota_group::reserve(peer &Peer, const time_point Now) -> void {
  // Members that joined while others are silent share the heard part only: the
  // silent ones on their side do the same.
  const auto Holders = static_cast<double>(heard() + (IsServing ? 1 : 0));
  const double Part = 1 / std::max(1.0, Holders);
  const double Share = heardShare() * Part;
  reserved_pool &Pool = openPool(Now);
  Steps.push_back({true, Pool, Part});
  Pool.Share += Share;
  Peer.Reserved = std::max(Share, MinShare);
  Peer.Pool = Pool.Id;
}

auto quota_group::unreserve(peer &Peer) -> void {
  if (Peer.Reserved <= 0)
    return;
  const auto Pool =
      std::find_if(Pools.begin(), Pools.end(),
                   [&Peer](const auto &Each) { return Each.Id == Peer.Pool; });
  const double Reserved = std::exchange(Peer.Reserved, 0);
  const bool IsLast =
      std::none_of(Peers.begin(), Peers.end(), [&Peer](const auto &Entry) {
        return Entry.second.Reserved > 0 && Entry.second.Pool == Peer.Pool;
      });
  const double Part = IsLast ? 1 : std::min(1.0, Reserved / Pool->Share);
  Steps.push_back({false, *Pool, Part});
  if (IsLast)
    Pools.erase(Pool);
  else
    Pool->Share = std::max(MinShare, Pool->Share - Reserved);
}

auto quota_group::advance(const time_point Now) -> void {
  for (auto At = Peers.begin(); At != Peers.end();) {
    peer &Peer = At->second;
    const auto Silence = Now - Peer.HeardAt;
    if (Peer.IsListed && Silence > MaxSilence && Silence <= ReserveTime)
      Peer.IsMember = true;
    if (Peer.IsMember && Peer.Reserved <= 0 && Silence > MaxSilence)
      reserve(Peer, Now);
    else if (Peer.Reserved > 0 && Silence > ReserveTime)
      expire(Peer);
    const bool IsGone = !Peer.IsMember && Silence > GuestTime;
    if (IsGone)
      ByNumber.erase(Peer.Number);
    At = IsGone ? Peers.erase(At) : std::next(At);
  }
}

auto quota_group::restart(const time_point Now) -> void {
  for (auto &[Address, Peer] : Peers) {
    Peer.HeardAt = Now;
    Peer.PreviousAt = Now;
    Peer.KnowsLevels = false;
    Peer.IsFullyCounted = false;
    Peer.HasSentLevels = false;
    Peer.Reserved = 0;
    renumber(Peer);
  }
  AnyHeardAt = Now;
  Pools.clear();
  Steps.clear();
}

auto quota_group::takeSteps() -> std::vector<step> {
  return std::exchange(Steps, {});
}

auto quota_group::heard() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [](const auto &Entry) {
        return Entry.second.IsMember && Entry.second.Reserved <= 0;
      }));
}

auto quota_group::silent() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [](const auto &Entry) {
        return Entry.second.Reserved > 0;
      }));
}

auto quota_group::isolatedFor(const time_point Now) const -> milliseconds {
  if (silent() == 0)
    return milliseconds(0);
  return std::chrono::floor<milliseconds>(Now - AnyHeardAt);
}

auto quota_group::peerNumbered(const std::uint32_t Number) const
    -> const peer * {
  const auto Found = ByNumber.find(Number);
  return Found == ByNumber.end() ? nullptr : Found->second;
}

} // namespace tarragon::account
