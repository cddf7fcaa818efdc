#pragma once

#include "ctl/applycommand.h"
#include "ctl/entryclient.h"
#include "ctl/internal/reporting.h"
#include "ctl/querycommand.h"
#include "ctl/types/ctloptions.h"
#include "ctl/types/ctlstreams.h"
#include "ctl/types/exitcode.h"

#include <string>

namespace tarragon::ctl {

/// Runner of one command, which writes its result.
template <entry_channel Channel> class command_runner {
public:
  command_runner(Channel &Link, const ctl_options &Options,
                 const ctl_streams Streams)
      : Client(Link, Options.Entries, Options.Token, Options.Timeout,
               Options.ApiKey),
        Options(Options), Reporter(Options, Streams) {}

  /// Returns the exit code. \p Text is the content of the file operand, empty
  /// for commands without one.
  auto run(const std::string &Text) -> exit_code {
    switch (Options.Command) {
    case command::Validate:
      return Reporter.reportValidation(Text);
    case command::Plan:
      return plan(Text);
    case command::Apply:
      return apply(Text);
    case command::Status:
      return view("/admin/v1/status");
    case command::Entries:
      return view("/v1/addresses?domain=" + Options.Domain);
    case command::Query:
      return Reporter.reportQuery(
          query_command<Channel>(Client, Options).run());
    case command::Drain:
      return Reporter.reportDrain(Client.send("POST", "/admin/v1/drain", "{}"));
    case command::Snapshot:
      return view("/admin/v1/snapshots");
    case command::Burn:
      return view("/admin/v1/burn");
    case command::Targets:
    case command::Accounts:
      return view("/status");
    case command::Explain:
      return explain();
    case command::Help:
      return Reporter.writeHelp();
    }
    return exit_code::Usage;
  }

private:
  auto view(const std::string &Path) -> exit_code {
    return Reporter.reportView(Client.sendRepeatable("GET", Path));
  }

  auto explain() -> exit_code {
    Json::Value Body;
    Body["host"] = Options.Host;
    Body["target"] = Options.Target;
    Body["method"] = Options.Method;
    if (!Options.Account.empty())
      Body["account"] = Options.Account;
    return Reporter.reportView(
        Client.sendRepeatable("POST", "/explain", writeJson(Body)));
  }

  auto plan(const std::string &Text) -> exit_code {
    if (const exit_code Valid = Reporter.reportFaults(Text);
        Valid != exit_code::Ok)
      return Valid;
    Json::Value Body;
    Body["text"] = Text;
    return Reporter.reportView(
        Client.sendRepeatable("POST", "/admin/v1/plan", writeJson(Body)));
  }

  auto apply(const std::string &Text) -> exit_code {
    if (const exit_code Valid = Reporter.reportFaults(Text);
        Valid != exit_code::Ok)
      return Valid;
    const auto Outcome = apply_command<Channel>(Client, Options, Text).run();
    return Reporter.reportApply(Outcome.Verdict, Outcome.Rollout);
  }

  entry_client<Channel> Client;
  const ctl_options &Options;
  command_reporter Reporter;
};

} // namespace tarragon::ctl
