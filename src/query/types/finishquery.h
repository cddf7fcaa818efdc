#pragma once

#include "world/types/queryanswer.h"

namespace tarragon::query {

/// The query is over: give this answer to the caller. Comes exactly once.
struct finish_query {
  query_answer Answer;
};

} // namespace tarragon::query
