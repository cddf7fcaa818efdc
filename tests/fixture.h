#pragma once

#include "tests/support/runningsystem.h"

namespace tarragon::tests {

/// A running system that uses the programs of this build.
struct system_fixture : running_system {
  system_fixture()
      : running_system({TARRAGON_DAEMON, TARRAGON_TARGET_STANDIN,
                        TARRAGON_PLATFORM_STANDIN}) {}
};

} // namespace tarragon::tests
