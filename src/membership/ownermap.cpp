#include "membership/ownermap.h"

#include "global/hash.h"

#include <algorithm>
#include <string>
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
  using score = std::tuple<std::ptrdiff_t, std::uint64_t, instance_id>;
  std::optional<score> Best;
  for (const instance &Member : Members) {
    if (!mayOwn(Member.State))
      continue;
    const std::uint64_t Weight = hash64(Member.Id + '\n' + Group.Id);
    score Score{targetsIn(Member.Domain, Group), Weight, Member.Id};
    if (!Best || Score > *Best)
      Best = std::move(Score);
  }
  if (!Best)
    return std::nullopt;
  return std::get<instance_id>(*Best);
}

} // namespace tarragon::membership
