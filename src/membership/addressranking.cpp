#include "membership/addressranking.h"

#include "global/hash.h"

#include <algorithm>
#include <iterator>

namespace tarragon::membership {

namespace {

using pointers = std::vector<const instance *>;

/// The first by rotation, so that firsts spread evenly; the rest by hash, so
/// that the callers of a lost instance spread over all others.
auto spreadOut(pointers Group, const std::uint64_t Spread) -> pointers {
  if (Group.empty())
    return Group;
  const auto ById = [](const instance *Left, const instance *Right) {
    return Left->Id < Right->Id;
  };
  std::sort(Group.begin(), Group.end(), ById);
  std::swap(Group.front(), Group[Spread % Group.size()]);
  const auto ByHash = [Spread](const instance *Left, const instance *Right) {
    return hash64(Left->Id, Spread) < hash64(Right->Id, Spread);
  };
  std::sort(std::next(Group.begin()), Group.end(), ByHash);
  return Group;
}

auto append(const pointers &Group, const std::size_t Most,
            std::vector<ranked_address> &Addresses) -> void {
  for (const instance *Member : Group) {
    if (Addresses.size() >= Most)
      return;
    Addresses.push_back({Member->Id, Member->CallerAddress, Member->Domain});
  }
}

} // namespace

auto rankAddresses(const std::vector<instance> &Members,
                   const failure_domain &CallerDomain,
                   const std::uint64_t Spread, const milliseconds Lifetime)
    -> address_answer {
  pointers Near;
  pointers Far;
  pointers Suspect;
  for (const instance &Member : Members) {
    switch (Member.State) {
    case instance_state::Live:
      (Member.Domain == CallerDomain ? Near : Far).push_back(&Member);
      break;
    case instance_state::Suspect:
      Suspect.push_back(&Member);
      break;
    case instance_state::Leaving:
    case instance_state::Dead:
      break;
    }
  }
  const std::size_t Reserved = std::min(Far.size(), MostFarReserved);
  address_answer Answer;
  Answer.Lifetime = Lifetime;
  append(spreadOut(Near, Spread), MostAddresses - Reserved, Answer.Addresses);
  append(spreadOut(Far, Spread), MostAddresses, Answer.Addresses);
  append(spreadOut(Suspect, Spread), MostAddresses, Answer.Addresses);
  return Answer;
}

} // namespace tarragon::membership
