#pragma once

#include "global/resultcode.h"

#include <string>

namespace tarragon {

/// The cause of a failed operation: a result code and one sentence of detail.
struct failure {
  result_code Code;
  std::string Detail;
};

} // namespace tarragon
