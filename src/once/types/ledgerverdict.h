#pragma once

#include "world/types/queryanswer.h"

#include <variant>

namespace tarragon::once {

/// Nobody ran it yet: run it now, then call finish().
struct run_now {};

/// It runs at this moment: wait for its answer.
struct await_answer {};

/// It ended before: this is its answer. Also how refusals are told.
struct replay_answer {
  query_answer Answer;
};

/// Another instance holds the ticket: ask that one.
struct forward_to {
  instance_id Instance;
  incarnation Incarnation = 0;
};

using ledger_verdict =
    std::variant<run_now, await_answer, replay_answer, forward_to>;

} // namespace tarragon::once
