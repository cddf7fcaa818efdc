#include "ctl/applytracker.h"

#include "ctl/internal/replytext.h"

namespace tarragon::ctl {

auto apply_tracker::record(const entry_reply &Reply)
    -> std::optional<apply_verdict> {
  if (Reply.State == reply_state::NotSent) {
    if (!ReplyReceived)
      LastReply = Reply;
    return std::nullopt;
  }
  LastReply = Reply;
  if (Reply.State == reply_state::NoReply) {
    MayTakeEffect = true;
    return std::nullopt;
  }
  ReplyReceived = true;
  const std::string State = textOf(Reply.Body, "state");
  if (State == "accepted")
    return apply_verdict{exit_code::Ok, Reply};
  if (State == "unknown") {
    MayTakeEffect = true;
    return std::nullopt;
  }
  // Only a conflict proves that no earlier attempt can still take effect.
  if (Reply.Code == result_code::ConfigConflict)
    return apply_verdict{exit_code::Refused, Reply};
  if (MayTakeEffect || Reply.Code == result_code::PlatformUnavailable)
    return std::nullopt;
  return apply_verdict{Reply.Code == result_code::ConfigUnchanged
                           ? exit_code::Ok
                           : exit_code::Refused,
                       Reply};
}

auto apply_tracker::conclude() const -> apply_verdict {
  if (MayTakeEffect)
    return {exit_code::Unknown, LastReply};
  return {ReplyReceived ? exit_code::Refused : exit_code::Unreachable,
          LastReply};
}

} // namespace tarragon::ctl
