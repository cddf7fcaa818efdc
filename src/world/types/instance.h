#pragma once

#include "world/types/ids.h"

namespace tarragon {

/// The state of an instance, as reported by the platform or peers.
enum class instance_state { Live, Suspect, Leaving, Dead };

/// An instance as other instances and the platform see it.
struct instance {
  instance_id Id;
  address CallerAddress;
  address PeerAddress;
  failure_domain Domain;
  incarnation Incarnation = 0;
  instance_state State = instance_state::Live;
  double Capacity = 0; ///< cores it may use; 0: not reported

  auto operator==(const instance &) const -> bool = default;
};

} // namespace tarragon
