#pragma once

#include "global/hash.h"
#include "global/types/time.h"
#include "membership/types/memberupdate.h"

#include <optional>

namespace tarragon::membership {

/// The part of a live member in the digest of a whole table.
inline auto memberDigest(const instance &Member, const bool Leaving)
    -> std::uint64_t {
  return hash64(Member.Id, 2 * Member.Incarnation + (Leaving ? 1 : 0));
}

/// What is known of one other instance.
struct member_record {
  instance Instance; ///< its State is Live, Suspect or Dead only
  std::uint64_t Refutation = 0;
  bool Leaving = false;
  config_version Config = 0; ///< as it told itself; 0 when it never did
  std::optional<time_point> Deadline; ///< Suspect: of dying; Dead: of removal

  auto alive() const -> bool { return Instance.State != instance_state::Dead; }

  auto update() const -> member_update {
    return {visible(), Refutation, Leaving};
  }

  /// What two instances must agree on to know the same live members.
  auto digest() const -> std::uint64_t {
    return alive() ? memberDigest(visible(), Leaving) : 0;
  }

  /// The instance with the state that the rest of the program sees.
  auto visible() const -> instance {
    instance Seen = Instance;
    if (Leaving && alive())
      Seen.State = instance_state::Leaving;
    return Seen;
  }
};

} // namespace tarragon::membership
