#pragma once

#include <iosfwd>

namespace tarragon::ctl {

/// The output streams for the result and the diagnostics of a command.
struct ctl_streams {
  std::ostream &Out;
  std::ostream &Diagnostics;
};

} // namespace tarragon::ctl
