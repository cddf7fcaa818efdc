#pragma once

#include "world/types/queryanswer.h"

namespace tarragon::query {

/// Action: send the answer to the caller. Emitted exactly once per query.
struct finish_query {
  query_answer Answer;
};

} // namespace tarragon::query
