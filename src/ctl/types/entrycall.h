#pragma once

#include "world/types/ids.h"

#include <string>

namespace tarragon::ctl {

/// One HTTP call to an entry.
struct entry_call {
  address Entry;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string Token;  ///< of the operator; empty: none
  std::string ApiKey; ///< of a client account; empty: none
};

} // namespace tarragon::ctl
