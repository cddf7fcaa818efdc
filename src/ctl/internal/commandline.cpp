#include "ctl/commandline.h"

#include "config/addresstext.h"
#include "config/timetext.h"

#include <cxxopts.hpp>

#include <array>
#include <charconv>

namespace tarragon::ctl {

namespace {

/// A command, its operand and whether it calls an entry.
struct command_row {
  std::string_view Name;
  command Command;
  std::string_view Operand; ///< empty: none
  bool NeedsEntry;
  std::string_view Description;
};

constexpr std::array Commands{
    command_row{"validate", command::Validate, "FILE", false,
                "check a file without any entry"},
    command_row{"plan", command::Plan, "FILE", true,
                "show what a file would change, and its base version"},
    command_row{"apply", command::Apply, "FILE", true,
                "put a file in force and wait until every live entry has it"},
    command_row{"status", command::Status, "", true,
                "the entries and the version each has in force"},
    command_row{"entries", command::Entries, "", true,
                "the addresses handed out to callers, best first"},
    command_row{"query", command::Query, "CONTRACT", true,
                "run one query, with the key of a client account in "
                "TARRAGON_API_KEY if it needs one"},
    command_row{"drain", command::Drain, "", true,
                "drain the single entry given"},
    command_row{"snapshot", command::Snapshot, "", true,
                "the index version each contract is served from"},
    command_row{"burn", command::Burn, "", true,
                "how fast the error budgets of the objectives are consumed"},
    command_row{"targets", command::Targets, "", true,
                "health of the targets as observed by the tarragon-entry at "
                "the metrics address given"},
    command_row{"accounts", command::Accounts, "", true,
                "client accounts in force at the tarragon-entry at the "
                "metrics address given"},
    command_row{"explain", command::Explain, "PATH", true,
                "where the tarragon-entry at the metrics address given would "
                "send a request now, and why; nothing is sent"},
};

constexpr std::string_view ExitCodes =
    "Exit codes:\n"
    "  0  done\n"
    "  1  refused, not accepted or not run\n"
    "  2  wrong usage\n"
    "  3  outcome unknown, or accepted but not confirmed at every entry in "
    "time\n"
    "  4  no entry could be reached; nothing was done\n";

auto badSetting(std::string Detail) -> failure {
  return fail(result_code::BadSetting, std::move(Detail));
}

auto makeParser() -> cxxopts::Options {
  cxxopts::Options Parser("tarragonctl");
  auto Add = Parser.add_options();
  using cxxopts::value;
  Add("h,help", "show this text");
  Add("entry",
      "IP:PORT of an entry, repeatable; else TARRAGON_ENTRIES, "
      "separated by commas",
      value<std::vector<std::string>>());
  Add("token", "bearer token of the operator; else TARRAGON_TOKEN",
      value<std::string>());
  Add("o,output", "table or json; else TARRAGON_OUTPUT", value<std::string>());
  Add("timeout",
      "time for the whole command, such as 10s; else "
      "TARRAGON_TIMEOUT",
      value<std::string>());
  Add("operator", "apply: author of the change; else TARRAGON_OPERATOR, USER",
      value<std::string>());
  Add("change-id", "apply: change id of an earlier attempt, to complete it",
      value<std::string>());
  Add("base", "apply: version that the plan is based on; else the one in force",
      value<std::string>());
  Add("domain", "entries: failure domain of the caller", value<std::string>());
  Add("body", "query: request body sent to the targets", value<std::string>());
  Add("key", "query: key of a by_key contract", value<std::string>());
  Add("continuation", "query: token of the next page", value<std::string>());
  Add("once",
      "query: obtain a ticket first; non-repeatable contracts need one");
  Add("host", "explain: host of the request", value<std::string>());
  Add("method", "explain: method of the request; else GET",
      value<std::string>());
  Add("account", "explain: client account of the caller; else without a key",
      value<std::string>());
  Add("words", "command and operand", value<std::vector<std::string>>());
  Parser.parse_positional({"words"});
  return Parser;
}

/// Source of settings: the flag if given, else the environment variable.
class setting_source {
public:
  setting_source(const cxxopts::ParseResult &Flags,
                 const environment &Environment)
      : Flags(Flags), Environment(Environment) {}

  auto text(const std::string &Flag, const std::string &Variable = {}) const
      -> std::optional<std::string> {
    if (Flags.count(Flag) > 0)
      return Flags[Flag].as<std::string>();
    return Variable.empty() ? std::nullopt : Environment(Variable);
  }

  auto list(const std::string &Flag, const std::string &Variable) const
      -> std::vector<std::string> {
    if (Flags.count(Flag) > 0)
      return Flags[Flag].as<std::vector<std::string>>();
    std::vector<std::string> Parts;
    std::istringstream Text(Environment(Variable).value_or(""));
    for (std::string Part; std::getline(Text, Part, ',');)
      if (!Part.empty())
        Parts.push_back(Part);
    return Parts;
  }

private:
  const cxxopts::ParseResult &Flags;
  const environment &Environment;
};

auto findCommand(const std::string &Name) -> const command_row * {
  for (const command_row &Row : Commands)
    if (Row.Name == Name)
      return &Row;
  return nullptr;
}

auto operandOf(const command Command, ctl_options &Options) -> std::string & {
  if (Command == command::Query)
    return Options.Contract;
  return Command == command::Explain ? Options.Target : Options.File;
}

auto readWords(const std::vector<std::string> &Words, ctl_options &Options)
    -> result<void> {
  if (Words.empty())
    return badSetting("a command is missing; see --help");
  const command_row *const Row = findCommand(Words[0]);
  if (Row == nullptr)
    return badSetting("unknown command '" + Words[0] + "'; see --help");
  Options.Command = Row->Command;
  const std::size_t Operands = Row->Operand.empty() ? 0 : 1;
  if (Words.size() - 1 != Operands)
    return badSetting(std::string(Row->Name) + " takes " +
                      (Operands == 0
                           ? std::string("no operand")
                           : "one operand, " + std::string(Row->Operand)));
  if (Operands == 1)
    operandOf(Row->Command, Options) = Words[1];
  return succeed();
}

auto readOutput(const setting_source &Source, ctl_options &Options)
    -> result<void> {
  const std::string Name =
      Source.text("output", "TARRAGON_OUTPUT").value_or("table");
  if (Name != "table" && Name != "json")
    return badSetting("output must be table or json, not '" + Name + "'");
  Options.Output = Name == "json" ? output_format::Json : output_format::Table;
  return succeed();
}

auto readTimeout(const setting_source &Source, ctl_options &Options)
    -> result<void> {
  const auto Text = Source.text("timeout", "TARRAGON_TIMEOUT");
  if (!Text)
    return succeed();
  const auto Time = config::parseTime(*Text);
  if (!Time || *Time < milliseconds{1})
    return badSetting("timeout must be a time such as 10s, not '" + *Text +
                      "'");
  Options.Timeout = std::chrono::duration_cast<milliseconds>(*Time);
  return succeed();
}

auto readBase(const setting_source &Source, ctl_options &Options)
    -> result<void> {
  const auto Text = Source.text("base");
  if (!Text)
    return succeed();
  config_version Version = 0;
  const char *const End = Text->data() + Text->size();
  const auto [Rest, Error] = std::from_chars(Text->data(), End, Version);
  if (Error != std::errc{} || Rest != End)
    return badSetting("base must be a version number, not '" + *Text + "'");
  Options.Base = Version;
  return succeed();
}

auto checkEntries(const ctl_options &Options) -> result<void> {
  for (const address &Entry : Options.Entries)
    if (!config::isAddress(Entry))
      return badSetting("entry must be IP:PORT, not '" + Entry + "'");
  for (const command_row &Row : Commands)
    if (Row.Command == Options.Command && Row.NeedsEntry &&
        Options.Entries.empty())
      return badSetting("no entry is configured: use --entry IP:PORT or set "
                        "TARRAGON_ENTRIES");
  if (Options.Command == command::Explain && Options.Host.empty())
    return badSetting("explain needs the --host of the request");
  if (Options.Command == command::Drain && Options.Entries.size() != 1)
    return badSetting("drain needs exactly one entry");
  return succeed();
}

auto readFlags(const cxxopts::ParseResult &Flags,
               const environment &Environment) -> result<ctl_options> {
  ctl_options Options;
  if (Flags.count("help") > 0)
    return Options;
  const setting_source Source(Flags, Environment);
  const auto Words = Flags.count("words") > 0
                         ? Flags["words"].as<std::vector<std::string>>()
                         : std::vector<std::string>{};
  for (const auto &Done :
       {readWords(Words, Options), readOutput(Source, Options),
        readTimeout(Source, Options), readBase(Source, Options)})
    if (!Done)
      return Done.error();
  Options.Entries = Source.list("entry", "TARRAGON_ENTRIES");
  Options.Token = Source.text("token", "TARRAGON_TOKEN").value_or("");
  Options.ApiKey = Environment("TARRAGON_API_KEY").value_or("");
  Options.Operator = Source.text("operator", "TARRAGON_OPERATOR")
                         .value_or(Environment("USER").value_or("unnamed"));
  Options.ChangeId = Source.text("change-id").value_or("");
  Options.Domain = Source.text("domain").value_or("");
  Options.Body = Source.text("body").value_or("");
  Options.Key = Source.text("key").value_or("");
  Options.Continuation = Source.text("continuation").value_or("");
  Options.Once = Flags.count("once") > 0;
  Options.Host = Source.text("host").value_or("");
  Options.Method = Source.text("method").value_or("GET");
  Options.Account = Source.text("account").value_or("");
  if (auto Checked = checkEntries(Options); !Checked)
    return Checked.error();
  return Options;
}

} // namespace

auto readCommandLine(const std::vector<std::string> &Arguments,
                     const environment &Environment) -> result<ctl_options> {
  std::vector<const char *> Pointers{"tarragonctl"};
  for (const std::string &Argument : Arguments)
    Pointers.push_back(Argument.c_str());
  try {
    auto Parser = makeParser();
    const auto Flags =
        Parser.parse(static_cast<int>(Pointers.size()), Pointers.data());
    return readFlags(Flags, Environment);
  } catch (const std::exception &Error) {
    return badSetting(Error.what());
  }
}

auto helpText() -> std::string {
  std::string Text = "Usage: tarragonctl COMMAND [OPERAND] [FLAGS]\n\n"
                     "Commands:\n";
  constexpr std::size_t Width = 19;
  for (const command_row &Row : Commands) {
    std::string Name = std::string(Row.Name) + " " + std::string(Row.Operand);
    Name.resize(Width, ' ');
    Text += "  " + Name + std::string(Row.Description) + "\n";
  }
  const std::string Flags = makeParser().help();
  const auto Start = Flags.find("  -h, --help");
  return Text + "\nFlags:\n" +
         (Start == std::string::npos ? Flags : Flags.substr(Start)) + "\n" +
         std::string(ExitCodes);
}

} // namespace tarragon::ctl
