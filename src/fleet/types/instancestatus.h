#pragma once

#include "fleet/types/documentmark.h"
#include "global/types/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace tarragon::fleet {

/// The state that an instance piggybacks on each datagram besides membership.
struct instance_status {
  std::map<std::string, document_mark> Documents; ///< by name
  /// Names of documents whose marks are sent where earlier builds don't look.
  std::set<std::string> LaterDocuments;
  /// Time since the source last answered any instance, as far as the sender
  /// knows.
  milliseconds SourceAnswerAge{0};
  bool NeedsHelp = false;    ///< asks the receiver to call the source
  double Load = 0;           ///< cores in use
  bool Ready = false;        ///< serves callers
  std::uint32_t Members = 0; ///< live instances in its table
  bool ReadsBrief = false;   ///< understands brief datagrams
};

} // namespace tarragon::fleet
