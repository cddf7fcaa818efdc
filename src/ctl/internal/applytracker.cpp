#include "ctl/applytracker.h"

#include "ctl/internal/replytext.h"

namespace tarragon::ctl {

auto apply_tracker::record(const entry_reply &Reply)
    -> std::optional<apply_verdict> {
  if (Reply.State == reply_state::NotSent) {
    if (!Heard)
      Last = Reply;
    return std::nullopt;
  }
  Last = Reply;
  if (Reply.State == reply_state::NoReply) {
    MayLand = true;
    return std::nullopt;
  }
  Heard = true;
  const std::string State = textOf(Reply.Body, "state");
  if (State == "accepted")
    return apply_verdict{exit_code::Ok, Reply};
  if (State == "unknown") {
    MayLand = true;
    return std::nullopt;
  }
  // Only a lost race proves that no earlier sending can land any more.
  if (Reply.Code == result_code::ConfigConflict)
    return apply_verdict{exit_code::Refused, Reply};
  if (MayLand || Reply.Code == result_code::PlatformUnavailable)
    return std::nullopt;
  return apply_verdict{Reply.Code == result_code::ConfigUnchanged
                           ? exit_code::Ok
                           : exit_code::Refused,
                       Reply};
}

auto apply_tracker::giveUp() const -> apply_verdict {
  if (MayLand)
    return {exit_code::Unknown, Last};
  return {Heard ? exit_code::Refused : exit_code::Unreachable, Last};
}

} // namespace tarragon::ctl
