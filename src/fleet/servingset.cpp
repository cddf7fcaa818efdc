#include "fleet/servingset.h"

#include "global/hash.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace tarragon::fleet {

namespace {

/// The part of its capacity that an instance should use.
constexpr double PlannedUse = 0.4;
/// Equally strong ones are taken up to this number.
constexpr std::size_t MostOfEqual = 8;

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
  std::map<failure_domain, int> OfDomain;
  double Capacity = 0;
  double Weakest = 0;
  const auto NeedsMore = [&] {
    const bool Alike = All.front().Capacity >= Weakest;
    return Serving.size() < FewestServing || Capacity * PlannedUse < Load ||
           (Alike && Serving.size() < MostOfEqual);
  };
  while (!All.empty() && NeedsMore()) {
    // Among the strongest, the domain that has the fewest so far.
    const auto Equals = std::find_if(
        All.begin(), All.end(), [&](const serving_candidate &Candidate) {
          return Candidate.Capacity < All.front().Capacity;
        });
    const auto Next = std::min_element(
        All.begin(), Equals,
        [&](const serving_candidate &Left, const serving_candidate &Right) {
          return OfDomain[Left.Domain] < OfDomain[Right.Domain];
        });
    Serving.push_back(Next->Id);
    ++OfDomain[Next->Domain];
    Capacity += Next->Capacity;
    Weakest = Next->Capacity;
    All.erase(Next);
  }
  return Serving;
}

} // namespace tarragon::fleet
