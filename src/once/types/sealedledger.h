#pragma once

#include "once/types/recordedanswer.h"

#include <vector>

namespace tarragon::once {

/// The answers of all tickets that a leaving incarnation of an instance has
/// run; it runs no further ones.
struct sealed_ledger {
  instance_id Instance;
  incarnation Incarnation = 0;
  std::uint64_t FirstKept = 0; ///< outcomes of lower ticket numbers are dropped
  std::vector<recorded_answer> Answers;
};

} // namespace tarragon::once
