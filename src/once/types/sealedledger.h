#pragma once

#include "once/types/recordedanswer.h"

#include <vector>

namespace tarragon::once {

/// All that a leaving life of an instance ran; it will never run more.
struct sealed_ledger {
  instance_id Instance;
  incarnation Incarnation = 0;
  std::uint64_t FirstKept = 0; ///< what lower ticket numbers did is forgotten
  std::vector<recorded_answer> Answers;
};

} // namespace tarragon::once
