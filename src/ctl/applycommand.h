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

/// Puts a file in force: sends the change under one id until its outcome is
/// settled, then waits until every live entry has it.
template <entry_channel Channel> class apply_command {
public:
  /// What came of it.
  struct outcome {
    apply_verdict Verdict;
    spread_view Spread; ///< once accepted
  };

  /// \p Options names file text's operator, change id and base.
  apply_command(entry_client<Channel> &Client, const ctl_options &Options,
                const std::string &Text)
      : Client(Client), Options(Options), Text(Text) {}

  auto run() -> outcome {
    config_version Base = 0;
    if (Options.Base) {
      Base = *Options.Base;
    } else {
      const auto Current = Client.ask("GET", "/admin/v1/config");
      if (exitAfterRead(Current) != exit_code::Ok)
        return {{exitAfterRead(Current), Current}, {}};
      Base = numberOf(Current.Body, "version");
    }
    outcome Outcome{sendUntilSettled(changeBody(Base)), {}};
    const std::uint64_t Version =
        numberOf(Outcome.Verdict.Reply.Body, "version");
    if (Outcome.Verdict.Exit == exit_code::Ok)
      awaitSpread(Version, Outcome);
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

  auto sendUntilSettled(const std::string &Body) -> apply_verdict {
    apply_tracker Tracker;
    for (std::size_t Try = 1; Client.timeLeft(); ++Try) {
      if (auto Verdict =
              Tracker.record(Client.send("POST", "/admin/v1/apply", Body)))
        return *Verdict;
      Client.moveOn();
      const bool RoundOver = Try % Client.entryCount() == 0;
      if (RoundOver && !Tracker.mayLand())
        break;
      if (RoundOver)
        Client.pause(RetryDelay);
    }
    return Tracker.giveUp();
  }

  auto awaitSpread(const std::uint64_t Version, outcome &Outcome) -> void {
    Outcome.Verdict.Exit = exit_code::Unknown;
    while (Client.timeLeft()) {
      const auto Status = Client.ask("GET", "/admin/v1/status");
      if (Status.State == reply_state::Replied)
        Outcome.Spread = readSpread(Status.Body, Version);
      if (Outcome.Spread.complete()) {
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
