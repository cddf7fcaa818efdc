#pragma once

#include "world/types/queryanswer.h"

#include <variant>

namespace tarragon::once {

/// The ticket is unused: run the request now, then call finish().
struct run_now {};

/// The ticket's request is running: wait for its answer.
struct await_answer {};

/// The recorded answer of the ticket's finished request. Also carries refusals.
struct replay_answer {
  query_answer Answer;
};

/// Another instance issued the ticket: forward the request to it.
struct forward_to {
  instance_id Instance;
  incarnation Incarnation = 0;
};

using ledger_verdict =
    std::variant<run_now, await_answer, replay_answer, forward_to>;

} // namespace tarragon::once
