#include "app/daemonsettings.h"

#include "transport/httpserver.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace tarragon::app {

namespace {

struct setting {
  const char *Flag;
  const char *Otherwise;
  const char *Meaning;
};

constexpr setting Table[] = {
    {"instance", "", "name of this instance, unique in the deployment"},
    {"failure-domain", "", "failure domain of this instance"},
    {"caller-listen", "127.0.0.1:7100", "IP:port for callers and operators"},
    {"peer-listen", "127.0.0.1:7200", "IP:port for the other instances"},
    {"platform", "127.0.0.1:7000", "IP:port of the platform's object API"},
    {"peers", "",
     "IP:port of other instances, separated by commas, to ask "
     "when the platform is away"},
    {"admin-token", "", "bearer tokens, [team=]token, separated by commas"},
    {"workers", "3", "worker threads"},
    {"caller-threads", "4", "threads that serve callers"},
    {"most-body", "1MB", "largest body of a caller, with unit B, KB or MB"},
    {"list-period", "1s", "time between reads of the instance list"},
    {"watch-wait", "10s", "longest wait of one watch"},
    {"ticket-lifetime", "60s", "how long a ticket may be used"},
    {"probe-period", "200ms", "time between probes of other instances"},
    {"suspicion-time", "1s", "silence after which a suspect counts as dead"},
    {"drain-limit", "30s", "longest wait of a drain for work in flight"},
    {"log-level", "info", "debug, info, warning or error"},
    {"log-format", "text", "text or json"},
};

using values = std::map<std::string, std::string>;

auto environmentName(const std::string &Flag) -> std::string {
  std::string Name = "TARRAGON_" + Flag;
  std::transform(Name.begin(), Name.end(), Name.begin(), [](const char C) {
    return C == '-'
               ? '_'
               : static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  });
  return Name;
}

auto splitList(const std::string &Text) -> std::vector<std::string> {
  std::vector<std::string> Parts;
  std::size_t From = 0;
  while (From < Text.size()) {
    const auto Comma = std::min(Text.find(',', From), Text.size());
    if (Comma > From)
      Parts.push_back(Text.substr(From, Comma - From));
    From = Comma + 1;
  }
  return Parts;
}

/// Reads the texts of all settings and collects what is wrong with them.
class reader {
public:
  reader(const values &Values, std::vector<std::string> &Faults)
      : Values(Values), Faults(Faults) {}

  auto text(const std::string &Flag) -> std::string { return Values.at(Flag); }

  auto required(const std::string &Flag) -> std::string {
    if (text(Flag).empty())
      fault(Flag, "must be given");
    return text(Flag);
  }

  auto ipAddress(const std::string &Flag) -> address {
    if (const auto Split = transport::splitAddress(text(Flag)); !Split)
      fault(Flag, Split.error().Detail);
    return text(Flag);
  }

  auto ipAddresses(const std::string &Flag) -> std::vector<address> {
    std::vector<address> Addresses = splitList(text(Flag));
    for (const address &Address : Addresses)
      if (const auto Split = transport::splitAddress(Address); !Split)
        fault(Flag, Split.error().Detail);
    return Addresses;
  }

  auto number(const std::string &Flag, const int Least, const int Most) -> int {
    const auto [Number, Unit] = split(text(Flag));
    if (!Unit.empty() || Number < Least || Number > Most)
      fault(Flag, "must be from " + std::to_string(Least) + " to " +
                      std::to_string(Most));
    return static_cast<int>(Number);
  }

  auto duration(const std::string &Flag) -> milliseconds {
    const auto [Number, Unit] = split(text(Flag));
    if (Number > 0 && Unit == "ms")
      return milliseconds(Number);
    if (Number > 0 && Unit == "s")
      return std::chrono::seconds(Number);
    if (Number > 0 && Unit == "min")
      return std::chrono::minutes(Number);
    fault(Flag, "must be a time such as 200ms, 5s or 2min");
    return milliseconds{1};
  }

  auto size(const std::string &Flag) -> std::size_t {
    const auto [Number, Unit] = split(text(Flag));
    constexpr std::size_t Kilo = 1024;
    const auto Bytes = static_cast<std::size_t>(std::max<long>(0, Number));
    if (Number > 0 && Unit == "B")
      return Bytes;
    if (Number > 0 && Unit == "KB")
      return Bytes * Kilo;
    if (Number > 0 && Unit == "MB")
      return Bytes * Kilo * Kilo;
    fault(Flag, "must be a size such as 800B, 64KB or 1MB");
    return 1;
  }

  auto fault(const std::string &Flag, const std::string &What) -> void {
    Faults.push_back("--" + Flag + ": " + What + " (is '" + text(Flag) + "')");
  }

private:
  /// Leading number and the rest; -1 when there is no number.
  static auto split(const std::string &Text) -> std::pair<long, std::string> {
    long Number = -1;
    const char *const Last = Text.data() + Text.size();
    const auto [End, Error] = std::from_chars(Text.data(), Last, Number);
    if (Error != std::errc{})
      return {-1, Text};
    return {Number, std::string(End, Last)};
  }

  const values &Values;
  std::vector<std::string> &Faults;
};

auto readTokens(const std::string &Text) -> std::map<std::string, team_id> {
  std::map<std::string, team_id> Tokens;
  for (const std::string &One : splitList(Text)) {
    const auto Equals = One.find('=');
    if (Equals == std::string::npos)
      Tokens.emplace(One, "");
    else
      Tokens.emplace(One.substr(Equals + 1), One.substr(0, Equals));
  }
  return Tokens;
}

auto readLevel(reader &Reader) -> log::level {
  const std::string Text = Reader.text("log-level");
  if (Text == "debug")
    return log::level::Debug;
  if (Text == "info")
    return log::level::Info;
  if (Text == "warning")
    return log::level::Warning;
  if (Text != "error")
    Reader.fault("log-level", "must be debug, info, warning or error");
  return log::level::Error;
}

auto readFormat(reader &Reader) -> log::format {
  const std::string Text = Reader.text("log-format");
  if (Text == "json")
    return log::format::Json;
  if (Text != "text")
    Reader.fault("log-format", "must be text or json");
  return log::format::Text;
}

/// Grows with each start of the process on whatever machine.
auto makeIncarnation() -> incarnation {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<incarnation>(
      std::chrono::duration_cast<milliseconds>(Now).count());
}

auto readEntry(reader &Reader) -> entry::entry_settings {
  entry::entry_settings Entry;
  Entry.Self.Id = Reader.required("instance");
  if (Entry.Self.Id.find('.') != std::string::npos)
    Reader.fault("instance", "must not hold a dot");
  Entry.Self.Domain = Reader.required("failure-domain");
  Entry.Self.CallerAddress = Reader.ipAddress("caller-listen");
  Entry.Self.PeerAddress = Reader.ipAddress("peer-listen");
  Entry.Self.Incarnation = makeIncarnation();
  Entry.Platform = Reader.ipAddress("platform");
  Entry.Seeds = Reader.ipAddresses("peers");
  Entry.Tokens = readTokens(Reader.text("admin-token"));
  Entry.Workers = Reader.number("workers", 1, 64);
  Entry.CallerThreads = Reader.number("caller-threads", 1, 64);
  Entry.MaxBodyBytes = Reader.size("most-body");
  Entry.ListPeriod = Reader.duration("list-period");
  Entry.WatchWait = Reader.duration("watch-wait");
  Entry.TicketLifetime = Reader.duration("ticket-lifetime");
  Entry.ProbePeriod = Reader.duration("probe-period");
  Entry.SuspicionTime = Reader.duration("suspicion-time");
  Entry.DrainLimit = Reader.duration("drain-limit");
  return Entry;
}

auto makeOptions() -> cxxopts::Options {
  cxxopts::Options Options("tarragond", "An entry instance of tarragoncove.");
  auto Add = Options.add_options();
  for (const setting &Setting : Table)
    Add(Setting.Flag,
        std::string(Setting.Meaning) + " [" + environmentName(Setting.Flag) +
            "]",
        cxxopts::value<std::string>()->default_value(Setting.Otherwise));
  Add("check", "check the settings and exit");
  Add("print-settings", "print the settings in force and exit");
  Add("version", "print the version and exit");
  Add("help", "print this and exit");
  return Options;
}

auto collect(const cxxopts::ParseResult &Parsed) -> values {
  values Values;
  for (const setting &Setting : Table) {
    const char *const Environment =
        std::getenv(environmentName(Setting.Flag).c_str());
    const bool FromFlag = Parsed.count(Setting.Flag) > 0;
    Values[Setting.Flag] = !FromFlag && Environment
                               ? std::string(Environment)
                               : Parsed[Setting.Flag].as<std::string>();
  }
  return Values;
}

auto printed(const values &Values) -> std::string {
  std::string Text;
  for (const setting &Setting : Table) {
    const bool Secret = std::string_view(Setting.Flag) == "admin-token";
    const std::string &Value = Values.at(Setting.Flag);
    Text += std::string(Setting.Flag) + "=" +
            (Secret && !Value.empty() ? "(hidden)" : Value) + "\n";
  }
  return Text;
}

auto taskOf(const cxxopts::ParseResult &Parsed) -> daemon_task {
  if (Parsed.count("help") > 0)
    return daemon_task::Help;
  if (Parsed.count("version") > 0)
    return daemon_task::Version;
  if (Parsed.count("print-settings") > 0)
    return daemon_task::Print;
  return Parsed.count("check") > 0 ? daemon_task::Check : daemon_task::Run;
}

constexpr char ExitCodes[] =
    "\nExit codes: 0 stopped as asked, 1 could not start, 2 wrong settings,\n"
    "3 stopped at once by a second signal.\n";

} // namespace

auto readDaemonSettings(const int Count, char **Arguments) -> daemon_settings {
  daemon_settings Settings;
  auto Options = makeOptions();
  try {
    const auto Parsed = Options.parse(Count, Arguments);
    for (const std::string &Stray : Parsed.unmatched())
      Settings.Faults.push_back("'" + Stray + "' is no flag");
    const values Values = collect(Parsed);
    reader Reader(Values, Settings.Faults);
    Settings.Task = taskOf(Parsed);
    Settings.Entry = readEntry(Reader);
    Settings.LogLevel = readLevel(Reader);
    Settings.LogFormat = readFormat(Reader);
    Settings.Text = Settings.Task == daemon_task::Help
                        ? Options.help() + ExitCodes
                        : printed(Values);
  } catch (const std::exception &Error) {
    Settings.Faults.emplace_back(Error.what());
  }
  return Settings;
}

} // namespace tarragon::app
