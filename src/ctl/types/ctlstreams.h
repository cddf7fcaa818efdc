#pragma once

#include <iosfwd>

namespace tarragon::ctl {

/// Where results and remarks of a command go.
struct ctl_streams {
  std::ostream &Out;
  std::ostream &Remarks;
};

} // namespace tarragon::ctl
