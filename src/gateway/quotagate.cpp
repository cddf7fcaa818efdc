#include "gateway/quotagate.h"

#include "report/metricsregistry.h"

#include <algorithm>

namespace tarragon::gateway {

namespace {

constexpr std::size_t LinesPerSecond = 5;
/// Accounts with series of their own in one version.
constexpr std::size_t MaxLargest = 10;
/// Accounts with series of their own during the life of the process.
constexpr std::size_t MaxCounted = 64;
/// Part of an account's capacity that requests past their objective leave to
/// those that can still be answered in time. A bucket over it refuses nobody.
constexpr double KeptFromLate = 0.5;
const std::string AdmittedName = "tarragon_quota_admitted_total";
const std::string RefusedName = "tarragon_quota_refused_total";

} // namespace

quota_gate::quota_gate(const account::quota_limits NewLimits,
                       report::metrics_registry &NewMetrics)
    : Limits(NewLimits), Ledger(NewLimits), Metrics(NewMetrics),
      Lines(LinesPerSecond),
      Others{&NewMetrics.counter(AdmittedName, {{"accounts", "others"}}),
             &NewMetrics.counter(RefusedName, {{"accounts", "others"}})} {}

auto quota_gate::setAccounts(const std::vector<route::account> &Accounts,
                             const time_point Now) -> void {
  Ledger.setAccounts(Accounts, Now);
  std::vector<const route::account *> Limited;
  for (const route::account &Account : Accounts)
    if (Account.RatePerSecond > 0)
      Limited.push_back(&Account);
  const std::size_t Count = std::min(MaxLargest, Limited.size());
  std::partial_sort(Limited.begin(),
                    Limited.begin() + static_cast<std::ptrdiff_t>(Count),
                    Limited.end(), [](const auto *Left, const auto *Right) {
                      return Left->RatePerSecond > Right->RatePerSecond;
                    });
  Largest.clear();
  for (std::size_t Each = 0; Each < Count; ++Each)
    Largest.insert(Limited[Each]->Name);
}

auto quota_gate::countersOf(const std::string &Account) -> counters & {
  if (!Largest.contains(Account))
    return Others;
  const auto Known = Counters.find(Account);
  if (Known != Counters.end())
    return Known->second;
  if (Counters.size() >= MaxCounted)
    return Others;
  const report::metric_labels Labels{{"account", Account}};
  return Counters
      .try_emplace(Account, counters{&Metrics.counter(AdmittedName, Labels),
                                     &Metrics.counter(RefusedName, Labels)})
      .first->second;
}

auto quota_gate::tryAcquire(const route::account &Account, const bool IsLate,
                            const time_point Now) -> account::quota_decision {
  const auto Decision =
      Ledger.tryAcquire(Account.Name, Now, IsLate ? KeptFromLate : 0);
  const counters &Series = countersOf(Account.Name);
  (Decision.IsAdmitted ? Series.Admitted : Series.Refused)->add();
  return Decision;
}

} // namespace tarragon::gateway
