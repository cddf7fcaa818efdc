#pragma once

#include "global/resultcode.h"

#include <string>

namespace tarragon::config {

/// One fault in a file, with its position. Lines and columns count from 1.
struct config_fault {
  result_code Code;
  int Line = 0;
  int Column = 0;
  std::string Detail;
};

} // namespace tarragon::config
