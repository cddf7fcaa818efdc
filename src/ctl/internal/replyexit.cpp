#include "ctl/internal/replyexit.h"

#include "ctl/internal/replytext.h"

#include <json/json.h>

#include <set>

namespace tarragon::ctl {

auto exitAfterRead(const entry_reply &Reply) -> exit_code {
  if (Reply.State != reply_state::Replied)
    return exit_code::Unreachable;
  return Reply.Code == result_code::Ok ? exit_code::Ok : exit_code::Refused;
}

auto exitAfterQuery(const entry_reply &Reply) -> exit_code {
  if (Reply.State == reply_state::NotSent)
    return exit_code::Unreachable;
  if (Reply.State == reply_state::NoReply ||
      Reply.Code == result_code::OutcomeUnknown)
    return exit_code::Unknown;
  const bool Answered =
      Reply.Code == result_code::Ok || Reply.Code == result_code::Partial;
  return Answered ? exit_code::Ok : exit_code::Refused;
}

auto otherEntryMayServe(const entry_reply &Reply) -> bool {
  return Reply.State == reply_state::NotSent ||
         Reply.Code == result_code::NotRunDraining ||
         Reply.Code == result_code::NotRunIsolated ||
         Reply.Code == result_code::NotRunNoConfiguration;
}

auto readRollout(const Json::Value &Status, const std::uint64_t Version)
    -> rollout_view {
  rollout_view View;
  std::set<std::string> Seen;
  for (const Json::Value &Member : listOf(Status, "members")) {
    const std::string Id = textOf(Member, "id");
    const std::string State = textOf(Member, "state");
    Seen.insert(Id);
    // A suspect instance may still serve requests, so its version counts.
    if (State != "live" && State != "suspect")
      continue;
    const bool Has = numberOf(Member, "config_version") >= Version;
    (Has ? View.UpToDate : View.Outdated).push_back(Id);
  }
  const std::string Self = textOf(Status, "instance");
  if (Self.empty() || Seen.contains(Self))
    return View;
  const bool Has = numberOf(Status, "config_version") >= Version;
  (Has ? View.UpToDate : View.Outdated).push_back(Self);
  return View;
}

auto joinNames(const std::vector<std::string> &Names) -> std::string {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

} // namespace tarragon::ctl
