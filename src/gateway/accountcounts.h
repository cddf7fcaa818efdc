#pragma once

#include "global/types/time.h"
#include "route/types/account.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragon::report {

class metric_counter;
class metrics_registry;

} // namespace tarragon::report

namespace tarragon::gateway {

/// The outcomes of a request of an account.
enum class account_event {
  Requested,
  Served,    ///< a target answered, or enough shards
  OverQuota, ///< refused
  /// Refused as not run: no target could run it in time, or it is beyond the
  /// account's share of scarce capacity.
  NoCapacity
};

/// Counts the requests of client accounts. The accounts with the most requests
/// have metrics of their own, the others common ones, so that the number of
/// series doesn't depend on the number of accounts.
class account_counts {
public:
  static constexpr std::size_t Events = 4;
  /// Accounts with metrics of their own at any time.
  static constexpr std::size_t MaxLargest = 10;

  using counts = std::array<std::uint64_t, Events>; ///< by account_event

  explicit account_counts(report::metrics_registry &Metrics);

  /// Forgets accounts that are not among \p Accounts.
  auto setAccounts(const std::vector<route::account> &Accounts) -> void;

  auto add(const std::string &Account, account_event Event, time_point Now)
      -> void;

  /// Returns the counts since the account came into force.
  auto of(const std::string &Account) const -> counts;

private:
  using series = std::array<report::metric_counter *, Events>;
  struct row {
    counts Counts{};
    double Weight = 0; ///< requests; half of it is forgotten at each ranking
    bool IsLargest = false;
    series Series{}; ///< set if it is one of the largest
  };

  auto makeSeries(const std::string &Account) -> series;
  auto promote(const std::string &Account, row &Row) -> void;
  auto demote(const std::string &Account, row &Row) -> void;
  auto rank() -> void;

  report::metrics_registry &Metrics;
  series Others;
  std::unordered_map<std::string, row> Rows; ///< accounts that sent a request
  std::size_t LargestCount = 0;
  time_point RankAt;
};

} // namespace tarragon::gateway
