#pragma once

#include <string>
#include <vector>

namespace tarragon::placement {

/// The instances as one of them sees them at a moment, by caller address.
struct instance_view {
  std::vector<std::string> Serving;
  std::vector<std::string> Live;    ///< heard recently, this one included
  std::vector<std::string> Leaving; ///< announced that they leave
};

} // namespace tarragon::placement
