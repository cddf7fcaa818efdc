#pragma once

#include "placement/retrybudget.h"

#include <map>
#include <string>

namespace tarragon::placement {

/// The retry budgets of all services. Not thread-safe.
class retry_budget_table {
public:
  /// \p StartedAt is when this instance started.
  explicit retry_budget_table(time_point StartedAt) : StartedAt(StartedAt) {}

  auto setLimits(const retry_limits &NewLimits) -> void {
    Limits = NewLimits;
    for (auto &[Service, Budget] : Budgets)
      Budget.setLimits(Limits);
  }

  auto limits() const -> const retry_limits & { return Limits; }

  /// Returns the budget of \p Service; creates it on first use.
  auto budget(const std::string &Service) -> retry_budget & {
    return Budgets.try_emplace(Service, Limits, StartedAt).first->second;
  }

private:
  time_point StartedAt;
  retry_limits Limits;
  std::map<std::string, retry_budget> Budgets;
};

} // namespace tarragon::placement
