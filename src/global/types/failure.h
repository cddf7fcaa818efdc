#pragma once

#include "global/resultcode.h"

#include <string>

namespace tarragon {

/// Why an operation failed: a numbered code and one sentence of detail.
struct failure {
  result_code Code;
  std::string Detail;
};

} // namespace tarragon
