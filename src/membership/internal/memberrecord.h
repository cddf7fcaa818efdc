#pragma once

#include "global/hash.h"
#include "global/types/time.h"
#include "membership/types/memberupdate.h"

#include <optional>

namespace tarragon::membership {

/// Returns the contribution of a live member to the digest of a table.
inline auto memberDigest(const instance &Member, const bool Leaving)
    -> std::uint64_t {
  return hash64(Member.Id, 2 * Member.Incarnation + (Leaving ? 1 : 0));
}

/// The state of one other instance.
struct member_record {
  instance Instance; ///< its State is Live, Suspect or Dead only
  std::uint64_t Refutation = 0;
  bool Leaving = false;
  config_version Config = 0; ///< as it reported; 0: not yet
  /// Suspect: when it becomes Dead; Dead: when the record is removed, unless it
  /// is listed.
  std::optional<time_point> Deadline;

  auto alive() const -> bool { return Instance.State != instance_state::Dead; }

  auto update() const -> member_update {
    return {visible(), Refutation, Leaving};
  }

  /// Returns the hash by which two instances compare their live members.
  auto digest() const -> std::uint64_t {
    return alive() ? memberDigest(visible(), Leaving) : 0;
  }

  /// Returns the instance with the state that other parts see, which may be
  /// Leaving.
  auto visible() const -> instance {
    instance Visible = Instance;
    if (Leaving && alive())
      Visible.State = instance_state::Leaving;
    return Visible;
  }
};

} // namespace tarragon::membership
