#pragma once

#include "placement/retrybudget.h"

#include <map>
#include <string>

namespace tarragon::placement {

/// The budgets of all services. Not locked.
class retry_budget_table {
public:
  explicit retry_budget_table(time_point BornAt) : BornAt(BornAt) {}

  auto setLimits(const retry_limits &NewLimits) -> void {
    Limits = NewLimits;
    for (auto &[Service, Budget] : Budgets)
      Budget.setLimits(Limits);
  }

  auto limits() const -> const retry_limits & { return Limits; }

  auto of(const std::string &Service) -> retry_budget & {
    return Budgets.try_emplace(Service, Limits, BornAt).first->second;
  }

private:
  time_point BornAt;
  retry_limits Limits;
  std::map<std::string, retry_budget> Budgets;
};

} // namespace tarragon::placement
