#include "gateway/accountsview.h"

#include "account/quotaledger.h"
#include "gateway/accountcounts.h"
#include "gateway/gateway.h"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace tarragon::gateway {

namespace {

constexpr std::size_t MaxRows = 256;
constexpr double Thousandths = 1000;
/// Names of the counts, in the order of account_event.
constexpr std::array<const char *, account_counts::Events> CountNames{
    "requested", "served", "over_quota", "no_capacity"};

/// Returns the part of the rates that this instance and the peers that it hears
/// may use, or nothing without quotas. An instance that doesn't know the levels
/// holds no share.
auto shareHeld(gateway &Gateway, const time_point Now)
    -> std::optional<double> {
  account::quota_ledger *const Ledger = Gateway.quotas();
  if (!Ledger)
    return std::nullopt;
  const account::quota_status Status = Ledger->status(Now);
  return Status.KnowsLevels
             ? std::round(Status.Fraction * Thousandths) / Thousandths
             : 0;
}

} // namespace

auto addAccounts(gateway &Gateway, const time_point Now, Json::Value &Status)
    -> void {
  const std::vector<route::account> *Accounts = Gateway.accounts();
  if (!Accounts)
    return;
  struct counted_account {
    const route::account *Account;
    account_counts::counts Counts;
  };
  std::vector<counted_account> Counted;
  for (const route::account &Account : *Accounts)
    Counted.push_back({&Account, Gateway.accountCounts().of(Account.Name)});
  std::stable_sort(Counted.begin(), Counted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Counts[0] > Right.Counts[0];
                   });
  Counted.resize(std::min(Counted.size(), MaxRows));
  const std::optional<double> Share = shareHeld(Gateway, Now);
  Json::Value &Rows = Status["accounts"] = Json::Value(Json::arrayValue);
  for (const auto &[Account, Counts] : Counted) {
    Json::Value Row;
    Row["account"] = Account->Name;
    if (Account->Priority)
      Row["priority"] = *Account->Priority;
    Row["rate_per_s"] = Account->RatePerSecond;
    Row["burst"] = Account->Burst;
    Row["key_count"] = Json::UInt64{Account->Keys.size()};
    for (std::size_t Event = 0; Event < Counts.size(); ++Event)
      Row[CountNames[Event]] = Json::UInt64{Counts[Event]};
    if (Share && Account->RatePerSecond > 0)
      Row["share_held"] = *Share;
    Rows.append(std::move(Row));
  }
  Status["accounts_not_listed"] =
      Json::UInt64{Accounts->size() - Counted.size()};
}

} // namespace tarragon::gateway
