#pragma once

#include "account/types/quotadecision.h"
#include "global/types/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace tarragon::account {

/// Decides which requests of client accounts are refused while capacity is
/// scarce: those of an account beyond its usual share, before others are
/// affected.
///
/// Load pattern: one of many accounts asks for several times its usual load, so
/// that the load of all exceeds the capacity, while its quota allows that.
/// Learns from the requests that it is asked about. Uses no clock; not
/// thread-safe.
class fair_share {
public:
  struct request {
    std::string Account;
    double RatePerSecond = 0; ///< of its quota; 0: none
    int Priority = 0;         ///< 0 is the highest
  };

  /// Decides on a request. \p MissedShare is the share of requests that are
  /// refused for lack of capacity or late now.
  auto decide(const request &Request, double MissedShare, time_point Now)
      -> quota_decision;

  auto refused() const -> std::size_t { return Refused; }

private:
  /// Requests per second, smoothed.
  struct rates {
    double Asked = 0;
    double Served = 0; ///< not refused here
    time_point At;
    double Usual = 0;   ///< while capacity isn't scarce
    double UsualAt = 0; ///< in calm time
  };

  auto usual(const rates &Rates) const -> double;
  auto isCalm() const -> bool;
  auto advance(double MissedShare, time_point Now) -> void;
  /// Returns at which rate the account may be served now.
  auto limit(const request &Request, const rates &Own, time_point Now) const
      -> double;

  std::unordered_map<std::string, rates> Accounts;
  rates All;
  double CalmTime = 0; ///< seconds in which capacity wasn't scarce
  /// Part of the requests beyond the shares that the capacity is enough for.
  double Leeway = 1;
  std::optional<time_point> SeenAt;
  std::optional<time_point> ScarceAt;
  int LowestPriority = 0; ///< of a request that was served lately
  time_point LowestAt;
  std::size_t Refused = 0;
};

} // namespace tarragon::account
