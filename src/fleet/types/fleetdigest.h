#pragma once

#include "fleet/types/documentmark.h"
#include "global/types/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace tarragon::fleet {

/// What an instance tells its peers of itself beside membership.
struct fleet_digest {
  std::map<std::string, document_mark> Documents; ///< by name
  milliseconds SourceSilence{0}; ///< since the source last answered it
  double Load = 0;               ///< cores it uses
  bool Ready = false;            ///< it serves callers
  std::uint32_t Members = 0;     ///< live instances that it knows
};

} // namespace tarragon::fleet
