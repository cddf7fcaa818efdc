#pragma once

#include "ctl/types/entryreply.h"
#include "ctl/types/exitcode.h"

#include <optional>

namespace tarragon::ctl {

/// The outcome of one change.
struct apply_verdict {
  exit_code Exit = exit_code::Unknown;
  entry_reply Reply; ///< the reply that determines the outcome
};

/// Evaluation of the replies to one change that is sent repeatedly under the
/// same change id, until a reply makes the outcome final. Performs no I/O.
class apply_tracker {
public:
  /// Records the reply to one attempt; returns a verdict when it is final.
  auto record(const entry_reply &Reply) -> std::optional<apply_verdict>;

  /// Returns the verdict when no further attempt is possible.
  auto conclude() const -> apply_verdict;

  /// Returns whether an earlier attempt may still take effect.
  auto mayTakeEffect() const -> bool { return MayTakeEffect; }

private:
  bool MayTakeEffect = false;
  bool ReplyReceived = false; ///< at least one entry replied
  entry_reply LastReply;
};

} // namespace tarragon::ctl
