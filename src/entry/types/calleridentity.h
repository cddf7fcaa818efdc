#pragma once

#include <string>
#include <string_view>

namespace tarragon::entry {

/// The client account of a caller, as its key shows.
struct caller_identity {
  std::string Account;    ///< name; empty: none
  int Priority = 0;       ///< 0: highest
  std::string_view Fault; ///< "missing", "repeated" or "unknown"; empty: none
};

} // namespace tarragon::entry
