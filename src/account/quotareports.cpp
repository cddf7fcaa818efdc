// Exchange of usage with the peers, and when their levels are known.
#include "account/quotaledger.h"

#include "account/internal/ratedecay.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragon::account {

namespace {

using internal::decay;
using internal::LearnTime;
using internal::RateMemory;
using internal::seconds;
using internal::StartTime;

/// Serving instances report at least this often, so that peers can tell that
/// they are connected.
constexpr milliseconds EmptyReportPeriod{300};
/// A gap between two timer calls in which all peers would count as silent.
constexpr milliseconds MinSuspension{400};
/// The same if all that are listed as serving were heard, and are so many that
/// the view of the members is probably complete. Instances that know the levels
/// report within it.
constexpr milliseconds AllHeardStartTime{300};
constexpr std::size_t MinHeard = 5;
/// Instances that started empty together restore the levels within it.
constexpr milliseconds MinRestoreTime{1000};
/// An instance that finds no peer within it is the only one.
constexpr std::chrono::seconds LonelyTime{60};
/// An instance that isn't serving exchanges reports for this long after its
/// last request.
constexpr std::chrono::seconds GuestTime{2};
/// An instance that isn't serving reports for this long after a peer expected
/// it to: the peer would reserve a share for it otherwise.
constexpr milliseconds ExpectedTime{1000};
/// Shortest time over which a rate is measured.
constexpr seconds MinRateTime{0.05};
/// Rows of a datagram of less than 32 KB.
constexpr std::size_t MaxRows = 600;

} // namespace

auto quota_ledger::learnLevels(const time_point Now) -> void {
  KnowsLevels = false;
  UnknownSince = Now;
  QuietSince = Now;
  FirstLevelsAt.reset();
  RestoreAt.reset();
  HasAdoptedFraction = false;
  Group.restart(Now);
  for (auto &[Hash, Usage] : Usages) {
    settle(Usage, Now);
    Usage.Bucket.reset(Usage.Bucket.capacity());
    Usage.Peers.clear();
    Usage.FloorCount = 0;
    Usage.FloorRefused = 0;
  }
}

auto quota_ledger::allQuietSince() const -> time_point {
  time_point Since = QuietSince.value_or(UnknownSince);
  for (const auto &[Address, Peer] : Group.peers())
    if (Peer.Sequence > 0 && Peer.Reserved <= 0)
      Since = std::max(Since, Peer.QuietSince);
  return Since;
}

auto quota_ledger::learnTime(const time_point Now) const -> milliseconds {
  const auto &All = Group.peers();
  const bool IsStart =
      Peers.IsServing &&
      std::none_of(All.begin(), All.end(), [](const auto &Entry) {
        return Entry.second.Sequence > 0 && Entry.second.KnowsLevels;
      });
  const auto Left = std::chrono::ceil<milliseconds>(
      std::max(UnknownSince, allQuietSince()) + StartTime - Now);
  return IsStart ? std::max(Left, quota_ledger::ReportPeriod) : LearnTime;
}

auto quota_ledger::checkSuspension(const time_point Now) -> void {
  if (TickAt && Now - *TickAt > MinSuspension)
    onSuspended(Now);
}

auto quota_ledger::onSuspended(const time_point Now) -> void {
  TickAt = Now;
  learnLevels(Now);
}

auto quota_ledger::startEmpty(const time_point Now) -> void {
  KnowsLevels = true;
  KnownSince = Now;
  // Admissions of earlier incarnations have left the window by then.
  const time_point Since = allQuietSince();
  RestoreAt = Since + Limits.Window;
  const seconds Quiet = Now - Since;
  for (auto &[Hash, Usage] : Usages) {
    settle(Usage, Now);
    // Earlier incarnations may have used all but the margin and the tokens of
    // the time since then.
    const double Level =
        Usage.Parts.Start + refillRate(Usage, Now) * Quiet.count() -
        static_cast<double>(Usage.FloorCount) - usedFloors(Usage);
    Usage.Bucket.reset(std::min(Level, Usage.Bucket.capacity()));
  }
}

auto quota_ledger::updateKnowledge(const time_point Now) -> void {
  if (RestoreAt && Now >= *RestoreAt) {
    RestoreAt.reset();
    for (auto &[Hash, Usage] : Usages) {
      Usage.Bucket.take(-Usage.Bucket.capacity());
      settle(Usage, Now);
    }
  }
  if (HasAdoptedFraction && Now > AdoptedUntil)
    HasAdoptedFraction = false;
  if (const double Reported = HasAdoptedFraction ? reportedFraction() : 0;
      Reported > 0)
    AdoptedFraction = Reported;
  const auto &All = Group.peers();
  if (KnowsLevels) {
    const bool HearsPeers = Group.heard() > 0;
    if (!Peers.IsServing && !HearsPeers && !Peers.IsAlone &&
        !Peers.Serving.empty())
      learnLevels(Now);
    return;
  }
  const bool Heard = std::any_of(All.begin(), All.end(), [](const auto &Entry) {
    return Entry.second.Sequence > 0;
  });
  const bool HaveSponsorsSent =
      std::count_if(All.begin(), All.end(), [](const auto &Entry) {
        return Entry.second.HasSentLevels;
      }) >= static_cast<std::ptrdiff_t>(MaxSponsors);
  const bool HaveAllSent =
      !All.empty() &&
      std::all_of(All.begin(), All.end(), [&](const auto &Entry) {
        const quota_group::peer &Peer = Entry.second;
        const bool KnowsNone = Peer.Sequence > 0 && !Peer.KnowsLevels &&
                               Peer.HeardAt > UnknownSince;
        return !Peer.IsMember || Peer.HasSentLevels || KnowsNone ||
               (!Peers.IsServing && HaveSponsorsSent);
      });
  if (FirstLevelsAt && (HaveAllSent || Now - *FirstLevelsAt >= LearnTime)) {
    KnowsLevels = true;
    adoptFraction(Now);
    KnownSince = Now;
    return;
  }
  const bool DoesAnyKnow =
      std::any_of(All.begin(), All.end(), [](const auto &Entry) {
        return Entry.second.IsMember && Entry.second.Reserved <= 0 &&
               Entry.second.KnowsLevels;
      });
  const auto Waited = Now - UnknownSince;
  const auto IsHeardAgain = [this](const auto &Entry) {
    return !Entry.second.IsListed ||
           (Entry.second.Sequence > 0 && Entry.second.HeardAt > UnknownSince);
  };
  const bool AreAllHeard = Peers.Serving.size() >= MinHeard &&
                           std::all_of(All.begin(), All.end(), IsHeardAgain);
  const auto Wait = AreAllHeard ? AllHeardStartTime : StartTime;
  if (Peers.IsAlone || (Peers.Serving.empty() && Waited >= LonelyTime) ||
      (Peers.IsServing && Heard && !DoesAnyKnow && Waited >= Wait))
    startEmpty(Now);
}

auto quota_ledger::wantsReports(const time_point Now) const -> bool {
  return Peers.IsServing || Now - UsedAt < GuestTime ||
         Now - ExpectedAt < ExpectedTime;
}

auto quota_ledger::makeReport(const time_point Now)
    -> std::optional<usage_report> {
  if (!isActive())
    return std::nullopt;
  checkSuspension(Now);
  TickAt = Now;
  advance(Now);
  ++Round;
  auto NowMissing = missingPeers(Now);
  auto NowExpected = expectedPeers(Now);
  const bool IsDue = Now - ReportedAt >= EmptyReportPeriod || !KnowsLevels ||
                     NowMissing != Missing || NowExpected != Expected;
  if (Dirty.empty() && !(IsDue && wantsReports(Now))) {
    makeCompleteReport(Now);
    return std::nullopt;
  }
  Missing = std::move(NowMissing);
  Expected = std::move(NowExpected);
  if (!KnowsLevels)
    markFloors();
  usage_report Report = startReport(Now);
  addRows(Report, Dirty, Now);
  Guests = receivers(Report);
  for (const usage_row &Row : Report.Rows)
    Usages.at(Row.Account).Reported = Row.Count;
  std::erase_if(Dirty, [this](const std::uint64_t Hash) {
    const account_usage &Usage = Usages.at(Hash);
    return Usage.Count == Usage.Reported;
  });
  ReportedAt = Now;
  makeCompleteReport(Now);
  return Report;
}

auto quota_ledger::startReport(const time_point Now) -> usage_report {
  usage_report Report;
  Report.Sequence = ++Sequence;
  Report.IsServing = Peers.IsServing;
  Report.NeedsLevels = !KnowsLevels;
  if (!KnowsLevels)
    Report.QuietFor = std::chrono::floor<milliseconds>(
        Now - QuietSince.value_or(UnknownSince));
  Report.Missing = Missing;
  Report.Expected = Expected;
  Report.Fraction = HasAdoptedFraction ? 0 : fraction();
  if (HasAdoptedFraction && fraction() < 1) {
    Report.AdoptedFraction = fraction();
    Report.AdoptedFor = std::chrono::ceil<milliseconds>(AdoptedUntil - Now);
  }
  if (RestoreAt)
    Report.RestoreIn = std::chrono::ceil<milliseconds>(*RestoreAt - Now);
  return Report;
}

auto quota_ledger::markFloors() -> void {
  // Instances that start later must hear of them, too.
  for (const auto &[Hash, Usage] : Usages)
    if (Usage.FloorCount > 0 &&
        std::find(Dirty.begin(), Dirty.end(), Hash) == Dirty.end())
      Dirty.push_back(Hash);
}

auto quota_ledger::lowestAccounts() const -> std::vector<std::uint64_t> {
  std::vector<std::pair<double, std::uint64_t>> All;
  for (const auto &[Hash, Usage] : Usages)
    All.emplace_back(Usage.Bucket.level() / Usage.Bucket.capacity(), Hash);
  std::sort(All.begin(), All.end());
  std::vector<std::uint64_t> Accounts;
  for (const auto &[Level, Hash] : All)
    Accounts.push_back(Hash);
  return Accounts;
}

auto quota_ledger::addRows(usage_report &Report,
                           const std::vector<std::uint64_t> &Accounts,
                           const time_point Now) -> void {
  for (const std::uint64_t Hash : Accounts) {
    if (Report.Rows.size() >= MaxRows)
      return;
    account_usage &Usage = Usages.at(Hash);
    settle(Usage, Now);
    Report.Rows.push_back({Hash, Usage.Count, Usage.Bucket.level()});
  }
}

auto quota_ledger::applyRow(const quota_group::peer &Peer, const bool WasSilent,
                            const bool IsComplete, const usage_row &Row)
    -> void {
  const auto Found = Usages.find(Row.Account);
  if (Found == Usages.end())
    return;
  account_usage &Usage = Found->second;
  settle(Usage, Peer.HeardAt);
  auto Count = std::find_if(
      Usage.Peers.begin(), Usage.Peers.end(),
      [&Peer](const auto &Each) { return Each.Peer == Peer.Number; });
  const bool IsFirst = Count == Usage.Peers.end();
  if (IsFirst)
    Count = Usage.Peers.insert(Count, {Peer.Number, 0, 0, Peer.PreviousAt});
  const bool IsAdopting = !KnowsLevels && !Peer.HasSentLevels;
  if (IsAdopting && !IsComplete) {
    // The levels that it will send have these requests.
    Count->Count = Row.Count;
    return;
  }
  if (IsAdopting || (IsFirst && !Peer.IsFullyCounted)) {
    // Its earlier requests may be in the level already; its own view of the
    // level has all of them.
    Count->Count = Row.Count;
    Usage.Bucket.lower(Row.Level);
    return;
  }
  const double Change =
      static_cast<double>(Row.Count) - static_cast<double>(Count->Count);
  if (WasSilent)
    Usage.Bucket.takeReserved(Peer.Pool, Change);
  else if (Count->At < Peer.ReturnedAt)
    Usage.Bucket.takeLate(Peer.Pool, Change, Row.Level);
  else
    Usage.Bucket.take(Change);
  const seconds Span =
      std::max<seconds>(Peer.HeardAt - Peer.PreviousAt, MinRateTime);
  const double Weight = 1 - std::exp(-Span / RateMemory);
  const double Before = Count->Rate * decay(Peer.PreviousAt - Count->At);
  Count->Rate =
      Before + Weight * (std::max(Change, 0.0) / Span.count() - Before);
  Count->Count = Row.Count;
  Count->At = Peer.HeardAt;
}

auto quota_ledger::onReport(const address &Sender,
                            const std::uint64_t SenderIncarnation,
                            const usage_report &Report, const time_point Now)
    -> void {
  const bool IsRelayed = !Report.Origin.empty();
  const address &From = IsRelayed ? Report.Origin : Sender;
  const std::uint64_t Incarnation =
      IsRelayed ? Report.OriginIncarnation : SenderIncarnation;
  if (!isActive() || From == Peers.Self)
    return;
  if (!IsRelayed)
    Relays.onDirect(From, Report.Missing, Now);
  checkSuspension(Now);
  advance(Now);
  const auto Before = shares();
  if (isForgotten(Now))
    refillAll(Before, Now);
  quota_group::peer *Peer = Group.hear(From, Incarnation, Report, Now);
  if (!Peer)
    return;
  for (relayed_report &Copy :
       Relays.copies(Peers.Self, From, Incarnation, Report, Now))
    Relayed.push_back(std::move(Copy));
  // hear() may have released the share of the peer. What it used of it is taken
  // first.
  const bool WasSilent = Group.hasSteps();
  if (WasSilent)
    refillAll(Before, Now);
  for (const usage_row &Row : Report.Rows)
    applyRow(*Peer, WasSilent, Report.IsComplete, Row);
  applySteps();
  if (Report.NeedsLevels && Peers.IsServing &&
      (Report.IsServing || isSponsor(From)))
    Needy.insert(From);
  if (std::find(Report.Expected.begin(), Report.Expected.end(), Peers.Self) !=
      Report.Expected.end())
    ExpectedAt = Now;
  if (Report.IsComplete) {
    Peer->IsFullyCounted = Peer->IsFullyCounted || Report.Rows.size() < MaxRows;
    Peer->HasSentLevels = true;
    if (!KnowsLevels && !FirstLevelsAt)
      FirstLevelsAt = Now;
    // A peer that knows the levels, found after this instance started empty.
    if (RestoreAt && Report.RestoreIn.count() == 0 &&
        *RestoreAt - Now > MinRestoreTime)
      RestoreAt.reset();
    if (!KnowsLevels && Report.RestoreIn.count() > 0)
      RestoreAt = std::max(RestoreAt.value_or(Now), Now + Report.RestoreIn);
  }
  // Counts of earlier incarnations.
  for (const usage_row &Row : Report.Rows)
    if (const auto Found = Usages.find(Row.Account); Found != Usages.end())
      std::erase_if(Found->second.Peers, [this](const auto &Count) {
        return !Group.peerNumbered(Count.Peer);
      });
  updateKnowledge(Now);
}

auto quota_ledger::onLeft(const address &Peer, const std::uint64_t Incarnation,
                          const time_point Now) -> void {
  const auto Before = shares();
  Group.release(Peer, Incarnation);
  if (Group.hasSteps()) {
    refillAll(Before, Now);
    applySteps();
  }
}

auto quota_ledger::status(const time_point Now) -> quota_status {
  quota_status Status{
      Group.heard(), Group.silent(), KnowsLevels, fraction(), {}};
  advance(Now);
  for (auto &[Hash, Usage] : Usages) {
    settle(Usage, Now);
    Status.Rows.push_back({Usage.Name, Usage.Bucket.rate(),
                           Usage.Bucket.level() - unreported(Usage, Now),
                           Usage.Count, Usage.Refused});
  }
  std::sort(Status.Rows.begin(), Status.Rows.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Account < Right.Account;
            });
  return Status;
}

} // namespace tarragon::account
