#include "membership/addressranking.h"

#include "global/hash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tarragon::membership {

namespace {

using pointers = std::vector<const instance *>;

/// Returns the best members of \p Group. The first is chosen by rotation, so
/// that first choices spread evenly; the rest are ordered by hash, so that the
/// callers of a lost instance spread over all others.
auto spreadOut(pointers Group, const std::uint64_t Spread) -> pointers {
  if (Group.empty())
    return Group;
  const auto ById = [](const instance *Left, const instance *Right) {
    return Left->Id < Right->Id;
  };
  if (!std::is_sorted(Group.begin(), Group.end(), ById))
    std::sort(Group.begin(), Group.end(), ById);
  std::swap(Group.front(), Group[Spread % Group.size()]);
  std::vector<std::pair<std::uint64_t, const instance *>> Rest;
  for (std::size_t Index = 1; Index < Group.size(); ++Index)
    Rest.emplace_back(hash64(Group[Index]->Id, Spread), Group[Index]);
  const std::size_t Kept = std::min(Rest.size(), MaxAddresses);
  const auto End = std::next(Rest.begin(), static_cast<std::ptrdiff_t>(Kept));
  std::partial_sort(Rest.begin(), End, Rest.end());
  pointers Best{Group.front()};
  for (auto Entry = Rest.begin(); Entry != End; ++Entry)
    Best.push_back(Entry->second);
  return Best;
}

auto append(const pointers &Group, const std::size_t MaxTotal,
            std::vector<ranked_address> &Addresses) -> void {
  for (const instance *Member : Group) {
    if (Addresses.size() >= MaxTotal)
      return;
    Addresses.push_back({Member->Id, Member->CallerAddress, Member->Domain});
  }
}

} // namespace

auto rankAddresses(const std::vector<instance> &Members,
                   const failure_domain &CallerDomain,
                   const std::uint64_t Spread, const milliseconds Lifetime)
    -> address_answer {
  pointers Local;
  pointers Remote;
  pointers Suspect;
  for (const instance &Member : Members) {
    switch (Member.State) {
    case instance_state::Live:
      (Member.Domain == CallerDomain ? Local : Remote).push_back(&Member);
      break;
    case instance_state::Suspect:
      Suspect.push_back(&Member);
      break;
    case instance_state::Leaving:
    case instance_state::Dead:
      break;
    }
  }
  const std::size_t Reserved = std::min(Remote.size(), MaxRemoteReserved);
  address_answer Answer;
  Answer.Lifetime = Lifetime;
  append(spreadOut(Local, Spread), MaxAddresses - Reserved, Answer.Addresses);
  append(spreadOut(Remote, Spread), MaxAddresses, Answer.Addresses);
  append(spreadOut(Suspect, Spread), MaxAddresses, Answer.Addresses);
  return Answer;
}

} // namespace tarragon::membership
