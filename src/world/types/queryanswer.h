#pragma once

#include "global/resultcode.h"
#include "global/types/time.h"
#include "world/types/coverage.h"
#include "world/types/item.h"

#include <string>
#include <vector>

namespace tarragon {

/// The answer to a caller's request: complete, partial, or a refusal.
struct query_answer {
  std::string RequestId;
  result_code Code = result_code::Internal;
  std::string Detail; ///< one sentence; empty if Ok
  index_version Version = 0;
  coverage Coverage;
  std::vector<item> Items;
  std::string Continuation; ///< empty on the last page
  std::uint32_t Attempts = 0;
  milliseconds RetryAfter{0}; ///< of a refusal; 0: not known

  auto operator==(const query_answer &) const -> bool = default;
};

} // namespace tarragon
