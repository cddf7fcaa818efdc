#include "gateway/accountcounts.h"

#include "report/metricsregistry.h"

#include <algorithm>
#include <unordered_set>

namespace tarragon::gateway {

namespace {

constexpr std::chrono::seconds RankPeriod{60};
/// Accounts of similar size don't take turns.
constexpr double MinAdvantage = 1.25;
constexpr double Remembered = 0.5;
const std::array<std::string, account_counts::Events> Names{
    "tarragon_account_requests_total", "tarragon_account_served_total",
    "tarragon_account_over_quota_total", "tarragon_account_no_capacity_total"};

auto ownLabels(const std::string &Account) -> report::metric_labels {
  return {{"account", Account}};
}

} // namespace

account_counts::account_counts(report::metrics_registry &NewMetrics)
    : Metrics(NewMetrics), Others{} {}

auto account_counts::makeSeries(const std::string &Account) -> series {
  series Series{};
  for (std::size_t Event = 0; Event < Events; ++Event)
    Series[Event] = &Metrics.counter(
        Names[Event], Account.empty()
                          ? report::metric_labels{{"accounts", "others"}}
                          : ownLabels(Account));
  return Series;
}

auto account_counts::promote(const std::string &Account, row &Row) -> void {
  Row.IsLargest = true;
  Row.Series = makeSeries(Account);
  ++LargestCount;
}

/// Its counts move to the common series, which keeps all sums monotonic.
auto account_counts::demote(const std::string &Account, row &Row) -> void {
  for (std::size_t Event = 0; Event < Events; ++Event) {
    Others[Event]->add(Row.Series[Event]->value());
    Metrics.removeCounter(Names[Event], ownLabels(Account));
  }
  Row.IsLargest = false;
  --LargestCount;
}

auto account_counts::setAccounts(const std::vector<route::account> &Accounts)
    -> void {
  std::unordered_set<std::string> InForce;
  for (const route::account &Account : Accounts)
    InForce.insert(Account.Name);
  for (auto Each = Rows.begin(); Each != Rows.end();) {
    if (InForce.contains(Each->first)) {
      ++Each;
      continue;
    }
    if (Each->second.IsLargest)
      demote(Each->first, Each->second);
    Each = Rows.erase(Each);
  }
}

auto account_counts::add(const std::string &Account, const account_event Event,
                         const time_point Now) -> void {
  if (!Others[0])
    Others = makeSeries("");
  const auto Index = static_cast<std::size_t>(Event);
  if (Now >= RankAt) {
    rank();
    RankAt = Now + RankPeriod;
  }
  // A request of an earlier version may end after its account was removed.
  const auto Found = Event == account_event::Requested
                         ? Rows.try_emplace(Account).first
                         : Rows.find(Account);
  if (Found == Rows.end()) {
    Others[Index]->add();
    return;
  }
  row &Row = Found->second;
  if (!Row.IsLargest && LargestCount < MaxLargest)
    promote(Account, Row);
  ++Row.Counts[Index];
  Row.Weight += Event == account_event::Requested ? 1 : 0;
  (Row.IsLargest ? Row.Series[Index] : Others[Index])->add();
}

auto account_counts::rank() -> void {
  using entry = std::pair<const std::string, row>;
  std::vector<entry *> ByWeight;
  for (entry &Each : Rows)
    ByWeight.push_back(&Each);
  std::sort(ByWeight.begin(), ByWeight.end(),
            [](const entry *Left, const entry *Right) {
              return Left->second.Weight > Right->second.Weight;
            });
  auto Smallest = ByWeight.rbegin();
  for (entry *const Each : ByWeight) {
    if (Each->second.IsLargest)
      continue;
    while (Smallest != ByWeight.rend() && !(*Smallest)->second.IsLargest)
      ++Smallest;
    if (Smallest == ByWeight.rend() ||
        Each->second.Weight < MinAdvantage * (*Smallest)->second.Weight)
      break;
    demote((*Smallest)->first, (*Smallest)->second);
    promote(Each->first, Each->second);
    ++Smallest;
  }
  for (entry *const Each : ByWeight)
    Each->second.Weight *= Remembered;
}

auto account_counts::of(const std::string &Account) const -> counts {
  const auto Found = Rows.find(Account);
  return Found == Rows.end() ? counts{} : Found->second.Counts;
}

} // namespace tarragon::gateway
