#include "route/weightedroundrobin.h"

#include <algorithm>
#include <numeric>

namespace tarragon::route {

auto weighted_round_robin::next(const route &Route) -> std::size_t {
  if (Route.Services.size() == 1)
    return 0;
  std::vector<double> Weights;
  for (const weighted_service &Service : Route.Services)
    Weights.push_back(Service.Weight);
  state &State = Routes[Route.Name];
  if (State.Weights != Weights)
    State = {Weights, std::vector<double>(Weights.size(), 0)};
  const double Sum = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  for (std::size_t Index = 0; Index < Weights.size(); ++Index)
    State.Credit[Index] += Weights[Index];
  const auto Highest =
      std::max_element(State.Credit.begin(), State.Credit.end());
  *Highest -= Sum;
  return static_cast<std::size_t>(Highest - State.Credit.begin());
}

} // namespace tarragon::route
