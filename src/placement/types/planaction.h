#pragma once

#include "route/types/targetentry.h"

#include <cstddef>
#include <tuple>
#include <variant>
#include <vector>

namespace tarragon::placement {

/// One attempt of a plan: the part it is for and its number there.
struct attempt_key {
  std::size_t Part = 0;
  std::size_t Attempt = 0;

  friend auto operator<(const attempt_key &Left, const attempt_key &Right)
      -> bool {
    return std::tie(Left.Part, Left.Attempt) <
           std::tie(Right.Part, Right.Attempt);
  }
};

/// Send the request of a part to a target.
struct send_attempt {
  attempt_key Key;
  route::target_entry Target;
};

/// Give an attempt up; its answer no longer matters.
struct cancel_attempt {
  attempt_key Key;
};

/// How a request ends for its caller.
enum class plan_verdict {
  Answer,      ///< the parts that were answered make up the answer
  TargetError, ///< a target's own failure is passed on
  NotRun,      ///< refused: it has not run and never will
  Unavailable, ///< given up; it may have run
  TimedOut     ///< given up at the deadline; it may have run
};

/// The request is over.
struct finish_plan {
  plan_verdict Verdict = plan_verdict::Unavailable;
  attempt_key Failure;        ///< whose failure is passed on
  milliseconds RetryAfter{0}; ///< but for answers: when there may be room
};

using plan_action = std::variant<send_attempt, cancel_attempt, finish_plan>;
using plan_actions = std::vector<plan_action>;

} // namespace tarragon::placement
