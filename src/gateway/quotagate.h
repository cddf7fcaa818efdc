#pragma once

#include "account/quotaledger.h"
#include "global/linelimiter.h"

#include <string>
#include <unordered_map>
#include <unordered_set>

namespace tarragon::report {

class metric_counter;
class metrics_registry;

} // namespace tarragon::report

namespace tarragon::gateway {

/// Applies the quotas of client accounts to requests and counts the outcome.
class quota_gate {
public:
  quota_gate(account::quota_limits Limits, report::metrics_registry &Metrics);

  auto setAccounts(const std::vector<route::account> &Accounts, time_point Now)
      -> void;

  /// Takes a token of \p Account. \p IsLate: the objective of the request has
  /// passed, so it gives way to others while the account nears its limit.
  auto tryAcquire(const route::account &Account, bool IsLate, time_point Now)
      -> account::quota_decision;

  auto ledger() -> account::quota_ledger & { return Ledger; }
  auto limits() const -> const account::quota_limits & { return Limits; }
  /// Limits the log lines of refusals.
  auto lines() -> log::line_limiter & { return Lines; }

private:
  struct counters {
    report::metric_counter *Admitted = nullptr;
    report::metric_counter *Refused = nullptr;
  };

  auto countersOf(const std::string &Account) -> counters &;

  account::quota_limits Limits;
  account::quota_ledger Ledger;
  report::metrics_registry &Metrics;
  log::line_limiter Lines;
  std::unordered_set<std::string> Largest; ///< accounts counted one by one
  std::unordered_map<std::string, counters> Counters;
  counters Others;
};

} // namespace tarragon::gateway
