#pragma once

#include "ctl/types/entryreply.h"
#include "ctl/types/exitcode.h"

#include <optional>

namespace tarragon::ctl {

/// What one change came to.
struct apply_verdict {
  exit_code Exit = exit_code::Unknown;
  entry_reply Reply; ///< the one it rests on
};

/// Judges the replies to one change that is sent again and again under the
/// same id, until one of them settles it. Pure.
class apply_tracker {
public:
  /// Takes the reply to one sending; gives a verdict when it is final.
  auto record(const entry_reply &Reply) -> std::optional<apply_verdict>;

  /// The verdict when no more sending is possible.
  auto giveUp() const -> apply_verdict;

  /// Whether an earlier sending may still take effect.
  auto mayLand() const -> bool { return MayLand; }

private:
  bool MayLand = false;
  bool Heard = false; ///< some entry replied
  entry_reply Last;
};

} // namespace tarragon::ctl
