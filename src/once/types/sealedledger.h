#pragma once

#include "once/types/ticket.h"
#include "world/types/queryanswer.h"

#include <utility>
#include <vector>

namespace tarragon::once {

/// All that a leaving life of an instance ran; it will never run more.
struct sealed_ledger {
  instance_id Instance;
  incarnation Incarnation = 0;
  std::vector<std::pair<ticket, query_answer>> Answers;
};

} // namespace tarragon::once
