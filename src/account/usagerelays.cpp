#include "account/usagerelays.h"

#include "global/hash.h"

#include <algorithm>

namespace tarragon::account {

namespace {

/// A peer without a direct report for it needs a relay.
constexpr milliseconds MaxDirectGap{400};
/// A relay that delivers nothing for it is replaced by another.
constexpr milliseconds RelayTime{500};
/// Requests are repeated with each report; three lost ones end them.
constexpr milliseconds RequestTime{1000};
constexpr std::chrono::seconds SourceTime{60};

} // namespace

auto usage_relays::onDirect(const address &From,
                            const std::vector<missing_peer> &Missing,
                            const time_point Now) -> void {
  source &Source = Sources[From];
  Source.DirectAt = Now;
  Source.Missing = Missing;
}

auto usage_relays::copies(const address &Self, const address &Sender,
                          const std::uint64_t Incarnation,
                          const usage_report &Report,
                          const time_point Now) const
    -> std::vector<relayed_report> {
  std::vector<relayed_report> Copies;
  for (const auto &[Address, Source] : Sources) {
    if (Address == Sender || Now - Source.DirectAt > RequestTime)
      continue;
    for (const missing_peer &Missing : Source.Missing) {
      if (Missing.Peer != Sender || Missing.Relayer != Self)
        continue;
      Copies.push_back({Address, Report});
      Copies.back().Report.Origin = Sender;
      Copies.back().Report.OriginIncarnation = Incarnation;
    }
  }
  return Copies;
}

auto usage_relays::asked(const address &Self, const time_point Now) const
    -> std::vector<address> {
  std::vector<address> All;
  for (const auto &[Address, Source] : Sources) {
    if (Now - Source.DirectAt > RequestTime)
      continue;
    for (const missing_peer &Missing : Source.Missing)
      if (Missing.Relayer == Self)
        All.push_back(Missing.Peer);
  }
  std::sort(All.begin(), All.end());
  All.erase(std::unique(All.begin(), All.end()), All.end());
  return All;
}

auto usage_relays::canRelay(const source &Candidate, const address &Peer,
                            const time_point Now) const -> bool {
  return Now - Candidate.DirectAt <= MaxDirectGap &&
         std::none_of(
             Candidate.Missing.begin(), Candidate.Missing.end(),
             [&Peer](const missing_peer &Each) { return Each.Peer == Peer; });
}

auto usage_relays::relayer(const address &Self, const address &Peer,
                           const time_point HeardAt, const time_point Now)
    -> address {
  source &Source =
      Sources.try_emplace(Peer, source{HeardAt, {}, {}, {}}).first->second;
  if (Now - Source.DirectAt <= MaxDirectGap) {
    Source.Relayer.clear();
    return {};
  }
  const bool Delivers = Now - std::max(HeardAt, Source.AskedAt) <= RelayTime;
  if (!Source.Relayer.empty() && Delivers) {
    const auto Current = Sources.find(Source.Relayer);
    if (Current != Sources.end() && canRelay(Current->second, Peer, Now))
      return Source.Relayer;
  }
  // Spreads the copies over those that can; the next one in the order follows
  // one that doesn't deliver.
  const auto Position = [&](const address &Candidate) {
    return hash64(Candidate + Self + Peer);
  };
  const std::uint64_t Last =
      Source.Relayer.empty() ? 0 : Position(Source.Relayer);
  address Next;
  for (const auto &[Address, Candidate] : Sources) {
    if (Address == Peer || !canRelay(Candidate, Peer, Now))
      continue;
    // Unsigned distances wrap, so that the order is circular.
    const std::uint64_t Distance = Position(Address) - Last - 1;
    if (Next.empty() || Distance < Position(Next) - Last - 1)
      Next = Address;
  }
  Source.Relayer = Next;
  Source.AskedAt = Now;
  return Next;
}

auto usage_relays::isMissing(const address &Peer, const time_point Now) const
    -> bool {
  const auto Found = Sources.find(Peer);
  return Found != Sources.end() && Now - Found->second.DirectAt > MaxDirectGap;
}

auto usage_relays::advance(const time_point Now) -> void {
  std::erase_if(Sources, [Now](const auto &Entry) {
    return Now - Entry.second.DirectAt > SourceTime;
  });
}

} // namespace tarragon::account
