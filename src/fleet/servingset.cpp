#include "fleet/servingset.h"

#include "global/hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace tarragon::fleet {

namespace {

/// Share of its capacity that a serving instance should use.
constexpr double PlannedUtilization = 0.4;
/// Instances of equal capacity are added up to this number of serving ones.
constexpr std::size_t MaxEqualServing = 8;

} // namespace

auto chooseServing(std::vector<serving_candidate> All)
    -> std::vector<instance_id> {
  double Load = 0;
  for (const serving_candidate &Candidate : All)
    Load += Candidate.Load;
  std::sort(All.begin(), All.end(),
            [](const serving_candidate &Left, const serving_candidate &Right) {
              return std::tuple(-Left.Capacity, hash64(Left.Id)) <
                     std::tuple(-Right.Capacity, hash64(Right.Id));
            });
  std::vector<instance_id> Serving;
  std::map<failure_domain, int> PerDomain;
  double Capacity = 0;
  double LastCapacity = 0;
  const auto NeedsMore = [&] {
    const bool SameCapacity = All.front().Capacity >= LastCapacity;
    return Serving.size() < MinServing ||
           Capacity * PlannedUtilization < Load ||
           (SameCapacity && Serving.size() < MaxEqualServing);
  };
  while (!All.empty() && NeedsMore()) {
    // Among the candidates of the highest capacity, prefers the failure domain
    // with the fewest serving instances.
    const auto EqualsEnd = std::find_if(
        All.begin(), All.end(), [&](const serving_candidate &Candidate) {
          return Candidate.Capacity < All.front().Capacity;
        });
    const auto Next = std::min_element(
        All.begin(), EqualsEnd,
        [&](const serving_candidate &Left, const serving_candidate &Right) {
          return PerDomain[Left.Domain] < PerDomain[Right.Domain];
        });
    Serving.push_back(Next->Id);
    ++PerDomain[Next->Domain];
    Capacity += Next->Capacity;
    LastCapacity = Next->Capacity;
    All.erase(Next);
  }
  return Serving;
}

} // namespace tarragon::fleet
