#include "membership/ownermap.h"

#include "global/hash.h"

#include <algorithm>
#include <tuple>

namespace tarragon::membership {

namespace {

auto mayOwn(const instance_state State) -> bool {
  switch (State) {
  case instance_state::Live:
  case instance_state::Suspect:
    return true;
  case instance_state::Leaving:
  case instance_state::Dead:
    return false;
  }
  return false;
}

auto targetsIn(const failure_domain &Domain, const replica_group &Group)
    -> std::ptrdiff_t {
  return std::count_if(
      Group.Targets.begin(), Group.Targets.end(),
      [&Domain](const target &Target) { return Target.Domain == Domain; });
}

} // namespace

auto ownerOf(const replica_group &Group, const std::vector<instance> &Members)
    -> std::optional<instance_id> {
  const std::uint64_t Seed = hash64(Group.Id);
  const instance *Best = nullptr;
  std::ptrdiff_t BestTargets = 0;
  std::uint64_t BestWeight = 0;
  for (const instance &Member : Members) {
    if (!mayOwn(Member.State))
      continue;
    const std::ptrdiff_t Targets = targetsIn(Member.Domain, Group);
    if (Best != nullptr && Targets < BestTargets)
      continue;
    const std::uint64_t Weight = hash64(Member.Id, Seed);
    if (Best != nullptr && std::tie(Targets, Weight, Member.Id) <=
                               std::tie(BestTargets, BestWeight, Best->Id))
      continue;
    Best = &Member;
    BestTargets = Targets;
    BestWeight = Weight;
  }
  if (Best == nullptr)
    return std::nullopt;
  return Best->Id;
}

} // namespace tarragon::membership
