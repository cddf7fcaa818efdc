#pragma once

#include "ctl/applytracker.h"
#include "ctl/internal/replyexit.h"
#include "ctl/types/ctloptions.h"
#include "ctl/types/ctlstreams.h"

#include <string>

namespace tarragon::ctl {

/// Writer of a command's result as text or JSON; its functions return the exit
/// code.
class command_reporter {
public:
  command_reporter(const ctl_options &Options, const ctl_streams Streams)
      : Options(Options), Streams(Streams) {}

  /// Validates a file and writes the result.
  auto reportValidation(const std::string &Text) -> exit_code;

  /// Validates a file and writes only its faults, if any.
  auto reportFaults(const std::string &Text) -> exit_code;

  auto reportView(const entry_reply &Reply) -> exit_code;
  auto reportDrain(const entry_reply &Reply) -> exit_code;
  auto reportQuery(const entry_reply &Reply) -> exit_code;
  auto reportApply(const apply_verdict &Verdict, const rollout_view &Rollout)
      -> exit_code;
  auto writeHelp() -> exit_code;

private:
  auto writeBody(const Json::Value &Body) -> void;
  auto writeDiagnostic(const std::string &Sentence) -> void;
  auto reportNoReply(const entry_reply &Reply) -> void;
  auto makeApplyBody(const apply_verdict &Verdict, const rollout_view &Rollout)
      -> Json::Value;

  const ctl_options &Options;
  ctl_streams Streams;
};

} // namespace tarragon::ctl
