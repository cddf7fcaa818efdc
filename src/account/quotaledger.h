#pragma once

#include "account/accountusage.h"
#include "account/quotagroup.h"
#include "account/types/quotadecision.h"
#include "account/types/quotalimits.h"
#include "account/types/quotapeers.h"
#include "account/types/quotastatus.h"
#include "account/types/usagereport.h"
#include "account/usagerelays.h"
#include "route/types/account.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tarragon::account {

/// Decides which requests of client accounts with a limit may run, so that all
/// instances together keep the limit. Each instance takes its own admissions
/// and those that its peers report from a token bucket for each account.
///
/// Load pattern: callers of one account that use any or all instances, at rates
/// from one request in seconds to several times the limit. Uses no clock and
/// performs no I/O. Not thread-safe.
class quota_ledger {
public:
  explicit quota_ledger(quota_limits Limits);

  /// Sets the accounts of a version. Keeps the state of those that stay.
  auto setAccounts(const std::vector<route::account> &Accounts, time_point Now)
      -> void;
  auto setInstances(const quota_peers &Peers, time_point Now) -> void;

  /// Returns whether an account has a limit. Without one, there is nothing to
  /// report.
  auto isActive() const -> bool { return !Usages.empty(); }

  /// Takes a token of \p Account; admits an account without a limit. \p Kept is
  /// the part of the account's capacity that must be left for other requests.
  auto tryAcquire(std::string_view Account, time_point Now, double Kept = 0)
      -> quota_decision;

  /// Returns the token of a request that was not sent.
  auto refund(std::string_view Account, time_point Now) -> void;

  /// Returns a report if one is due; to be called every ReportPeriod while the
  /// ledger is active. A longer gap counts as a suspension.
  auto makeReport(time_point Now) -> std::optional<usage_report>;

  /// Returns the receivers of the last report besides the serving peers.
  auto guests() const -> const std::vector<address> & { return Guests; }

  /// Records a report that \p Sender made, or relayed.
  auto onReport(const address &Sender, std::uint64_t Incarnation,
                const usage_report &Report, time_point Now) -> void;

  /// Returns the reports for single instances since the last call: of others,
  /// to be passed on, and those of this one that not all need. To be called
  /// after makeReport() and onReport().
  auto takeRelays() -> std::vector<relayed_report>;

  /// Releases the share of a peer that leaves.
  auto onLeft(const address &Peer, std::uint64_t Incarnation, time_point Now)
      -> void;

  /// Discards the levels: requests of the others were missed.
  auto onSuspended(time_point Now) -> void;

  auto status(time_point Now) -> quota_status;

  static constexpr milliseconds ReportPeriod{100};

private:
  /// Serving instances that send all levels to an instance in reserve. Two of
  /// their reports may be lost.
  static constexpr std::size_t MaxSponsors = 3;

  using usages = std::unordered_map<std::uint64_t, account_usage>;

  /// Starts anew if the timer has not run for long. Requests and reports may be
  /// handled before the timer when the process resumes.
  auto checkSuspension(time_point Now) -> void;
  auto advance(time_point Now) -> void;
  /// Applies changes of the reserved shares to all buckets.
  auto applySteps() -> void;
  auto settle(account_usage &Usage, time_point Now) -> void;
  auto fraction() const -> double;
  /// Returns the fraction that peers report which track the shares themselves;
  /// 0 if there are none.
  auto reportedFraction() const -> double;
  /// Takes over the fraction that the peers refill at.
  auto adoptFraction(time_point Now) -> void;
  /// Returns whether the peers may have been replaced by instances that don't
  /// know of this one.
  auto isForgotten(time_point Now) const -> bool;
  auto shares() const -> shared_bucket::shares;
  /// Returns the most tokens a second that this instance may use.
  auto maxRate(const account_usage &Usage, time_point Now) const -> double;
  /// Refills all buckets with the shares before a change of them.
  auto refillAll(const shared_bucket::shares &Before, time_point Now) -> void;
  auto refillRate(const account_usage &Usage, time_point Now) const -> double;
  /// Returns the tokens that the peers have probably taken since they reported.
  auto unreported(const account_usage &Usage, time_point Now) const -> double;
  auto peerRate(const account_usage::peer_count &Count) const -> double;
  /// Returns how many requests may be admitted before the peers hear of them.
  auto allowance(const account_usage &Usage, double Level, time_point Now) const
      -> double;
  /// Returns the own admissions that the peers may not have heard of yet.
  static auto unheard(const account_usage &Usage) -> double;
  auto acquireFloor(account_usage &Usage, time_point Now) -> quota_decision;
  /// Returns what peers that started, too, admitted from their floors.
  auto usedFloors(const account_usage &Usage) const -> double;
  auto hasFloor(std::uint64_t Hash, const account_usage &Usage) const -> bool;
  auto shiftRound(account_usage &Usage, time_point Now) const -> void;
  auto applyRow(const quota_group::peer &Peer, bool WasSilent, bool IsComplete,
                const usage_row &Row) -> void;
  auto updateKnowledge(time_point Now) -> void;
  /// Starts with empty buckets, as no instance knows the levels.
  auto startEmpty(time_point Now) -> void;
  /// Returns since when no heard instance has admitted but from floors.
  auto allQuietSince() const -> time_point;
  /// Returns how long the levels are probably still unknown.
  auto learnTime(time_point Now) const -> milliseconds;
  auto learnLevels(time_point Now) -> void;
  /// Reports the accounts that were admitted from floors again.
  auto markFloors() -> void;
  auto lowestAccounts() const -> std::vector<std::uint64_t>;
  auto addRows(usage_report &Report, const std::vector<std::uint64_t> &Accounts,
               time_point Now) -> void;
  auto wantsReports(time_point Now) const -> bool;
  /// Returns a report without rows.
  auto startReport(time_point Now) -> usage_report;
  /// Returns who receives \p Report besides the serving peers.
  auto receivers(const usage_report &Report) const -> std::vector<address>;
  /// Makes a report of all levels for the peers that need them.
  auto makeCompleteReport(time_point Now) -> void;
  /// Returns whether \p Peer, an instance in reserve, gets its levels from this
  /// one.
  auto isSponsor(const address &Peer) const -> bool;
  /// Returns the peers that are to report although they don't serve.
  auto expectedPeers(time_point Now) const -> std::vector<address>;
  /// Returns the peers that don't report directly.
  auto missingPeers(time_point Now) -> std::vector<missing_peer>;

  quota_limits Limits;
  usages Usages; ///< of accounts with a limit, by hash of the name
  quota_group Group;
  usage_relays Relays;
  std::vector<relayed_report> Relayed; ///< to be sent
  std::vector<missing_peer> Missing;   ///< in the last report
  std::vector<address> Expected;       ///< in the last report
  time_point ExpectedAt;               ///< by a peer
  quota_peers Peers;
  std::vector<std::uint64_t> Dirty; ///< accounts to report
  std::uint64_t Sequence = 0;
  std::uint64_t Round = 0;
  bool KnowsLevels = false;
  bool HasAdoptedFraction = false;
  double AdoptedFraction = 1; ///< the last one that was reported
  time_point AdoptedUntil;
  std::set<address> Needy;     ///< peers that need a complete report
  time_point CompleteAt;       ///< of the last complete report
  std::vector<address> Guests; ///< receivers of the last report
  time_point UnknownSince;
  /// Since when this process has admitted from floors only.
  std::optional<time_point> QuietSince;
  std::optional<time_point> FirstLevelsAt;
  time_point KnownSince; ///< the levels
  std::optional<time_point> RestoreAt;
  std::optional<time_point> TickAt;
  time_point ReportedAt;
  time_point UsedAt; ///< by a caller, for an instance that isn't serving
};

} // namespace tarragon::account
