#pragma once

#include "route/types/targetentry.h"

#include <cstddef>
#include <tuple>
#include <variant>
#include <vector>

namespace tarragon::placement {

/// Identifies an attempt of a plan: the index of its part and the index of the
/// attempt within the part.
struct attempt_key {
  std::size_t Part = 0;
  std::size_t Attempt = 0;

  friend auto operator<(const attempt_key &Left, const attempt_key &Right)
      -> bool {
    return std::tie(Left.Part, Left.Attempt) <
           std::tie(Right.Part, Right.Attempt);
  }
};

/// Action: send the request of a part to a target.
struct send_attempt {
  attempt_key Key;
  route::target_entry Target;
};

/// Action: cancel an attempt; its answer is ignored.
struct cancel_attempt {
  attempt_key Key;
};

/// The result of a request for its caller.
enum class plan_verdict {
  Answer,      ///< the answered parts form the answer
  TargetError, ///< the error of a target is passed on
  NotRun,      ///< refused: proven not run, and will not be run
  Unavailable, ///< abandoned before the deadline; may have run
  TimedOut     ///< abandoned at the deadline; may have run
};

/// Action: finish the request.
struct finish_plan {
  plan_verdict Verdict = plan_verdict::Unavailable;
  attempt_key Failure;        ///< the attempt whose error is passed on
  milliseconds RetryAfter{0}; ///< when to retry; 0 with an answer
};

using plan_action = std::variant<send_attempt, cancel_attempt, finish_plan>;
using plan_actions = std::vector<plan_action>;

} // namespace tarragon::placement
