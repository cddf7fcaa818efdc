#pragma once

#include "ctl/applytracker.h"
#include "ctl/internal/replyexit.h"
#include "ctl/types/ctloptions.h"
#include "ctl/types/ctlstreams.h"

#include <string>

namespace tarragon::ctl {

/// Writes what a command found, as text or JSON, and tells the exit code.
class command_report {
public:
  command_report(const ctl_options &Options, const ctl_streams Streams)
      : Options(Options), Streams(Streams) {}

  /// The whole result of checking a file.
  auto validated(const std::string &Text) -> exit_code;

  /// Writes only the faults of a file, if any.
  auto checked(const std::string &Text) -> exit_code;

  auto viewed(const entry_reply &Reply) -> exit_code;
  auto drained(const entry_reply &Reply) -> exit_code;
  auto queried(const entry_reply &Reply) -> exit_code;
  auto applied(const apply_verdict &Verdict, const spread_view &Spread)
      -> exit_code;
  auto helped() -> exit_code;

private:
  auto writeBody(const Json::Value &Body) -> void;
  auto remark(const std::string &Sentence) -> void;
  auto unanswered(const entry_reply &Reply) -> void;
  auto appliedBody(const apply_verdict &Verdict, const spread_view &Spread)
      -> Json::Value;

  const ctl_options &Options;
  ctl_streams Streams;
};

} // namespace tarragon::ctl
