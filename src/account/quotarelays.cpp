// Receivers of reports, and peers whose reports don't arrive directly.
#include "account/quotaledger.h"

#include "global/hash.h"

#include <algorithm>
#include <utility>

namespace tarragon::account {

namespace {

/// Addresses in each list of a report.
constexpr std::size_t MaxMissing = 16;
/// A peer of which no relay has delivered a report for it has probably ended:
/// after a kill of many instances, their addresses would fill each report.
constexpr std::chrono::seconds MaxRelayGap{5};
/// Complete reports are long, and after a start of many instances some need one
/// at any time.
constexpr milliseconds MinCompletePeriod{200};

} // namespace

auto quota_ledger::expectedPeers(const time_point Now) const
    -> std::vector<address> {
  std::vector<address> All = Relays.asked(Peers.Self, Now);
  for (const auto &[Address, Peer] : Group.peers())
    if (Peer.IsListed && (Peer.Sequence == 0 || !Peer.IsMember))
      All.push_back(Address);
  All.resize(std::min(All.size(), MaxMissing));
  return All;
}

auto quota_ledger::missingPeers(const time_point Now)
    -> std::vector<missing_peer> {
  std::vector<missing_peer> All;
  for (const auto &[Address, Peer] : Group.peers()) {
    const bool IsLost = Now - Peer.HeardAt > MaxRelayGap;
    if (!Peer.IsMember || IsLost || All.size() >= MaxMissing)
      continue;
    const address Relayer =
        Relays.relayer(Peers.Self, Address, Peer.HeardAt, Now);
    if (Relays.isMissing(Address, Now))
      All.push_back({Address, Relayer});
  }
  return All;
}

auto quota_ledger::receivers(const usage_report &Report) const
    -> std::vector<address> {
  std::vector<address> All = Expected;
  const auto Add = [&](const address &Address) {
    const bool IsKnown =
        std::find(Peers.Serving.begin(), Peers.Serving.end(), Address) !=
            Peers.Serving.end() ||
        std::find(All.begin(), All.end(), Address) != All.end();
    if (!IsKnown)
      All.push_back(Address);
  };
  // Instances in reserve don't report to each other, or each of them would
  // report to all others.
  const bool ForAll = Peers.IsServing && !Report.Rows.empty();
  for (const auto &[Address, Peer] : Group.peers())
    if (ForAll || Peer.IsMember)
      Add(Address);
  return All;
}

auto quota_ledger::isSponsor(const address &Peer) const -> bool {
  const std::uint64_t Own = hash64(Peers.Self + Peer);
  return std::count_if(Peers.Serving.begin(), Peers.Serving.end(),
                       [&](const address &Each) {
                         return hash64(Each + Peer) < Own;
                       }) < static_cast<std::ptrdiff_t>(MaxSponsors);
}

auto quota_ledger::makeCompleteReport(const time_point Now) -> void {
  if (Needy.empty() || !KnowsLevels || Now - CompleteAt < MinCompletePeriod)
    return;
  usage_report Report = startReport(Now);
  Report.IsComplete = true;
  addRows(Report, lowestAccounts(), Now);
  CompleteAt = Now;
  for (const address &Receiver : std::exchange(Needy, {}))
    Relayed.push_back({Receiver, Report});
}

auto quota_ledger::takeRelays() -> std::vector<relayed_report> {
  return std::exchange(Relayed, {});
}

} // namespace tarragon::account
