// Quotas and shares of client accounts: admission, refund and exchange of the
// usage.
#include "account/fairshare.h"
#include "account/priority.h"
#include "gateway/accountcounts.h"
#include "gateway/activerequest.h"
#include "gateway/callersession.h"
#include "gateway/gateway.h"
#include "gateway/internal/answerwriter.h"
#include "gateway/quotagate.h"
#include "global/log.h"

namespace tarragon::gateway {

namespace {

constexpr unsigned StatusTooManyRequests = 429;
constexpr std::string_view OverQuota = "over quota";
constexpr unsigned StatusUnavailable = 503;
constexpr std::string_view BeyondShare = "beyond its share of the capacity";

/// Returns why the ledger refused a request of \p Account, for operators.
/// \p IsLate: the objective of the request has passed.
auto refusalCause(account::quota_ledger &Ledger, const std::string &Account,
                  const bool IsLate, const time_point Now) -> std::string {
  const account::quota_status Status = Ledger.status(Now);
  if (!Status.KnowsLevels)
    return "levels unknown";
  if (Status.Silent > 0)
    return "peers silent";
  for (const account::quota_status::row &Row : Status.Rows)
    if (Row.Account == Account && Row.Level < 1)
      return "rate and burst used";
  return IsLate ? "late" : "sudden load";
}

} // namespace

auto gateway::setQuota(const std::optional<account::quota_limits> &Limits)
    -> void {
  if (!Limits) {
    Quotas.reset();
    return;
  }
  if (Quotas && Quotas->limits() == *Limits)
    return;
  Quotas = std::make_unique<quota_gate>(*Limits, Metrics);
  Quotas->ledger().setInstances(QuotaPeers, std::chrono::steady_clock::now());
  updateQuotaAccounts();
}

auto gateway::updateQuotaAccounts() -> void {
  static const std::vector<route::account> None;
  if (Quotas)
    Quotas->setAccounts(accounts() ? *accounts() : None,
                        std::chrono::steady_clock::now());
}

auto gateway::setQuotaPeers(const account::quota_peers &Peers) -> void {
  QuotaPeers = Peers;
  if (Quotas)
    Quotas->ledger().setInstances(Peers, std::chrono::steady_clock::now());
}

auto gateway::quotas() -> account::quota_ledger * {
  return Quotas ? &Quotas->ledger() : nullptr;
}

auto gateway::reportUsage(const time_point Now) -> void {
  if (!Quotas)
    return;
  const auto Report = Quotas->ledger().makeReport(Now);
  if (Report && UsageHandler)
    UsageHandler(*Report, Quotas->ledger().guests());
  for (const account::relayed_report &Relayed : Quotas->ledger().takeRelays())
    if (RelayHandler)
      RelayHandler(Relayed);
}

auto gateway::admitByQuota(const session_pointer &Session,
                           const caller_request &Request,
                           const route::route &Route,
                           const route::account *Account, const time_point Now)
    -> bool {
  if (!Quotas || !Account || !(Account->RatePerSecond > 0))
    return true;
  // A caller that was refused sends its request again with the rest of its
  // time. Such requests would use up the tokens of an account that is over its
  // quota, and none of its requests would be answered within the objective.
  const milliseconds Passed = Route.Timeout - requestTimeout(Request, Route);
  const bool IsLate = Passed >= Route.Objective;
  const auto Decision = Quotas->tryAcquire(*Account, IsLate, Now);
  if (Decision.IsAdmitted)
    return true;
  AccountCounts->add(Account->Name, account_event::OverQuota, Now);
  const milliseconds RetryAfter = jittered(Decision.RetryAfter);
  Metrics.counter("tarragon_refused_total", {{"why", std::string(OverQuota)}})
      .add();
  if (Quotas->lines().tryAcquire(Now))
    log::write(
        log::level::Info, log::part::Admission, "account over its quota",
        {{"request", fieldOrEmpty(Request.Headers, Settings.Names.RequestId)},
         {"account", Account->Name},
         {"cause", refusalCause(Quotas->ledger(), Account->Name, IsLate, Now)},
         {"version", std::to_string(version())},
         {"retry_after_ms", std::to_string(RetryAfter.count())},
         {"unlogged", std::to_string(Quotas->lines().takeRejected())}});
  caller_answer Answer;
  Answer.Status = StatusTooManyRequests;
  Answer.Headers.push_back({"Retry-After", internal::secondsText(RetryAfter)});
  Answer.Body = std::string(OverQuota) + "\n";
  Session->answer(std::move(Answer));
  return false;
}

auto gateway::admitByShare(const session_pointer &Session,
                           const caller_request &Request,
                           const route::route &Route,
                           const route::account *Account, const time_point Now)
    -> bool {
  if (!Account || !Route.scattered())
    return true;
  const auto Decision = Shares->decide({Account->Name, Account->RatePerSecond,
                                        account::priorityOf(Route, Account)},
                                       Admission.missedShare(Now), Now);
  if (Decision.IsAdmitted)
    return true;
  if (Quotas)
    Quotas->ledger().refund(Account->Name, Now);
  AccountCounts->add(Account->Name, account_event::NoCapacity, Now);
  const milliseconds RetryAfter = jittered(Decision.RetryAfter);
  Metrics.counter("tarragon_refused_total", {{"why", std::string(BeyondShare)}})
      .add();
  if (ShareLines.tryAcquire(Now))
    log::write(
        log::level::Info, log::part::Admission, "account beyond its share",
        {{"request", fieldOrEmpty(Request.Headers, Settings.Names.RequestId)},
         {"account", Account->Name},
         {"retry_after_ms", std::to_string(RetryAfter.count())},
         {"unlogged", std::to_string(ShareLines.takeRejected())}});
  caller_answer Answer;
  Answer.Status = StatusUnavailable;
  Answer.Headers.push_back({"Retry-After", internal::secondsText(RetryAfter)});
  Answer.Body = std::string(BeyondShare) + "\n";
  Session->answer(std::move(Answer));
  return false;
}

auto gateway::refundQuota(const active_request &Request) -> void {
  if (Quotas && Request.account() && Request.isProvenNotRun())
    Quotas->ledger().refund(Request.account()->Name,
                            std::chrono::steady_clock::now());
}

} // namespace tarragon::gateway
