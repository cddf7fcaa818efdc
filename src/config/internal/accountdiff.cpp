#include "config/internal/accountdiff.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <map>
#include <sstream>

namespace tarragon::config {

namespace {

using route::account;
using accounts_by_name = std::map<std::string, const account *>;

auto byName(const deployment &Deployment) -> accounts_by_name {
  accounts_by_name Accounts;
  if (Deployment.Accounts)
    for (const account &Account : *Deployment.Accounts)
      Accounts.emplace(Account.Name, &Account);
  return Accounts;
}

/// Describes a change of the keys by numbers: "1 added, 2 removed".
auto describeKeys(std::vector<std::string> Old, std::vector<std::string> New)
    -> std::string {
  std::sort(Old.begin(), Old.end());
  std::sort(New.begin(), New.end());
  std::vector<std::string> Kept;
  std::set_intersection(Old.begin(), Old.end(), New.begin(), New.end(),
                        std::back_inserter(Kept));
  return std::to_string(New.size() - Kept.size()) + " added, " +
         std::to_string(Old.size() - Kept.size()) + " removed";
}

auto formatNumber(const double Value) -> std::string {
  std::ostringstream Text;
  Text << std::setprecision(std::numeric_limits<double>::digits10) << Value;
  return Text.str();
}

auto compareAccount(const account &Old, const account &New,
                    std::vector<std::string> &Differences) -> void {
  const std::string Prefix = "account " + New.Name + ": ";
  if (Old.Keys != New.Keys)
    Differences.push_back(Prefix + "keys " + describeKeys(Old.Keys, New.Keys));
  const int OldPriority = Old.Priority.value_or(0);
  const int NewPriority = New.Priority.value_or(0);
  if (OldPriority != NewPriority)
    Differences.push_back(Prefix + "priority " + std::to_string(OldPriority) +
                          " -> " + std::to_string(NewPriority));
  if (Old.RatePerSecond != New.RatePerSecond)
    Differences.push_back(Prefix + "rate " + formatNumber(Old.RatePerSecond) +
                          " -> " + formatNumber(New.RatePerSecond));
  if (Old.Burst != New.Burst)
    Differences.push_back(Prefix + "burst " + formatNumber(Old.Burst) + " -> " +
                          formatNumber(New.Burst));
}

} // namespace

auto diffAccounts(const deployment &Old, const deployment &New)
    -> std::vector<std::string> {
  std::vector<std::string> Differences;
  if (Old.Accounts.has_value() != New.Accounts.has_value())
    Differences.push_back(New.Accounts
                              ? "deployment: accounts added, requests need keys"
                              : "deployment: accounts removed, requests need "
                                "no keys");
  const accounts_by_name Before = byName(Old);
  const accounts_by_name After = byName(New);
  for (const auto &[Name, Account] : Before) {
    const auto Found = After.find(Name);
    if (Found == After.end())
      Differences.push_back("account " + Name + ": removed");
    else
      compareAccount(*Account, *Found->second, Differences);
  }
  for (const auto &[Name, Account] : After)
    if (!Before.contains(Name))
      Differences.push_back("account " + Name + ": added");
  return Differences;
}

} // namespace tarragon::config
