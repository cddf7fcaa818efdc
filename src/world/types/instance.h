#pragma once

#include "world/types/ids.h"

namespace tarragon {

/// What the platform or peers say of an instance.
enum class instance_state { Live, Suspect, Leaving, Dead };

/// One process of the system, as others see it.
struct instance {
  instance_id Id;
  address CallerAddress;
  address PeerAddress;
  failure_domain Domain;
  incarnation Incarnation = 0;
  instance_state State = instance_state::Live;
  double Capacity = 0; ///< cores it may use; 0: not told

  auto operator==(const instance &) const -> bool = default;
};

} // namespace tarragon
