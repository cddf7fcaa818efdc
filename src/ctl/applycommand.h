#pragma once

#include "ctl/applytracker.h"
#include "ctl/entryclient.h"
#include "ctl/internal/replyexit.h"
#include "ctl/internal/replytext.h"
#include "ctl/types/ctloptions.h"
#include "global/json.h"

#include <json/json.h>

#include <string>

namespace tarragon::ctl {

/// The command that applies a file: sends the change under one change id until
/// its outcome is final, then waits until every live entry has it in force.
template <entry_channel Channel> class apply_command {
public:
  /// The outcome of the change and of its rollout.
  struct outcome {
    apply_verdict Verdict;
    rollout_view Rollout; ///< empty unless the file is in force
  };

  /// \p Options contains the operator, change id and base of \p Text.
  apply_command(entry_client<Channel> &Client, const ctl_options &Options,
                const std::string &Text)
      : Client(Client), Options(Options), Text(Text) {}

  auto run() -> outcome {
    config_version Base = 0;
    if (Options.Base) {
      Base = *Options.Base;
    } else {
      const auto Current = Client.sendRepeatable("GET", "/admin/v1/config");
      if (exitAfterRead(Current) != exit_code::Ok)
        return {{exitAfterRead(Current), Current}, {}};
      Base = numberOf(Current.Body, "version");
    }
    outcome Outcome{sendUntilFinal(changeBody(Base)), {}};
    const std::uint64_t Version =
        numberOf(Outcome.Verdict.Reply.Body, "version");
    if (Outcome.Verdict.Exit == exit_code::Ok)
      awaitRollout(Version, Outcome);
    return Outcome;
  }

private:
  auto changeBody(const config_version Base) const -> std::string {
    Json::Value Body;
    Body["text"] = Text;
    Body["change_id"] = Options.ChangeId;
    Body["operator"] = Options.Operator;
    Body["base"] = Json::UInt64{Base};
    return writeJson(Body);
  }

  auto sendUntilFinal(const std::string &Body) -> apply_verdict {
    apply_tracker Tracker;
    for (std::size_t Attempt = 1; Client.hasTimeLeft(); ++Attempt) {
      if (auto Verdict =
              Tracker.record(Client.send("POST", "/admin/v1/apply", Body)))
        return *Verdict;
      Client.selectNextEntry();
      const bool RoundOver = Attempt % Client.entryCount() == 0;
      if (RoundOver && !Tracker.mayTakeEffect())
        break;
      if (RoundOver)
        Client.pause(RetryDelay);
    }
    return Tracker.conclude();
  }

  auto awaitRollout(const std::uint64_t Version, outcome &Outcome) -> void {
    Outcome.Verdict.Exit = exit_code::Unknown;
    while (Client.hasTimeLeft()) {
      const auto Status = Client.sendRepeatable("GET", "/admin/v1/status");
      if (Status.State == reply_state::Replied)
        Outcome.Rollout = readRollout(Status.Body, Version);
      if (Outcome.Rollout.complete()) {
        Outcome.Verdict.Exit = exit_code::Ok;
        return;
      }
      Client.pause(PollDelay);
    }
  }

  static constexpr milliseconds RetryDelay{250};
  static constexpr milliseconds PollDelay{100};

  entry_client<Channel> &Client;
  const ctl_options &Options;
  const std::string &Text;
};

} // namespace tarragon::ctl
