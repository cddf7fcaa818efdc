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

/// Runs one command and writes what it found.
template <entry_channel Channel> class command_runner {
public:
  command_runner(Channel &Link, const ctl_options &Options,
                 const ctl_streams Streams)
      : Client(Link, Options.Entries, Options.Token, Options.Timeout),
        Options(Options), Report(Options, Streams) {}

  /// \p Text is the file's text for commands that take one.
  auto run(const std::string &Text) -> exit_code {
    switch (Options.Command) {
    case command::Validate:
      return Report.validated(Text);
    case command::Plan:
      return plan(Text);
    case command::Apply:
      return apply(Text);
    case command::Status:
      return view("/admin/v1/status");
    case command::Entries:
      return view("/v1/addresses?domain=" + Options.Domain);
    case command::Query:
      return Report.queried(query_command<Channel>(Client, Options).run());
    case command::Drain:
      return Report.drained(Client.send("POST", "/admin/v1/drain", "{}"));
    case command::Snapshot:
      return view("/admin/v1/snapshots");
    case command::Burn:
      return view("/admin/v1/burn");
    case command::Targets:
      return view("/status");
    case command::Help:
      return Report.helped();
    }
    return exit_code::Usage;
  }

private:
  auto view(const std::string &Path) -> exit_code {
    return Report.viewed(Client.ask("GET", Path));
  }

  auto plan(const std::string &Text) -> exit_code {
    if (const exit_code Valid = Report.checked(Text); Valid != exit_code::Ok)
      return Valid;
    Json::Value Body;
    Body["text"] = Text;
    return Report.viewed(Client.ask("POST", "/admin/v1/plan", writeJson(Body)));
  }

  auto apply(const std::string &Text) -> exit_code {
    if (const exit_code Valid = Report.checked(Text); Valid != exit_code::Ok)
      return Valid;
    const auto Outcome = apply_command<Channel>(Client, Options, Text).run();
    return Report.applied(Outcome.Verdict, Outcome.Spread);
  }

  entry_client<Channel> Client;
  const ctl_options &Options;
  command_report Report;
};

} // namespace tarragon::ctl
