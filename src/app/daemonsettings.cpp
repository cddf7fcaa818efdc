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
  const char *Default;
  const char *HelpText;
};

constexpr setting SettingTable[] = {
    {"instance", "", "name of this instance, unique in the deployment"},
    {"failure-domain", "", "failure domain of this instance"},
    {"caller-listen", "127.0.0.1:7100", "IP:port for callers and operators"},
    {"peer-listen", "127.0.0.1:7200", "IP:port for the other instances"},
    {"platform", "127.0.0.1:7000", "IP:port of the platform's object API"},
    {"peers", "",
     "IP:port of other instances, separated by commas, contacted "
     "when the platform is unreachable"},
    {"admin-token", "", "bearer tokens, [team=]token, separated by commas"},
    {"workers", "3", "worker threads"},
    {"caller-threads", "4", "threads that serve caller requests"},
    {"most-body", "1MB",
     "maximum body size of a caller's request, in B, KB or MB"},
    {"list-period", "1s", "time between reads of the instance list"},
    {"watch-wait", "10s", "maximum duration of one watch"},
    {"ticket-lifetime", "60s", "time for which a ticket is valid"},
    {"probe-period", "200ms", "time between probes of other instances"},
    {"suspicion-time", "1s",
     "time after which a suspect that doesn't refute is declared dead"},
    {"drain-limit", "30s",
     "maximum time that a drain waits for requests in flight"},
    {"log-level", "info", "debug, info, warning or error"},
    {"log-format", "text", "text or json"},
};

using setting_values = std::map<std::string, std::string>;

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

/// Parses the values of settings and collects the faults found.
class setting_reader {
public:
  setting_reader(const setting_values &Values, std::vector<std::string> &Faults)
      : Values(Values), Faults(Faults) {}

  auto text(const std::string &Flag) -> std::string { return Values.at(Flag); }

  auto required(const std::string &Flag) -> std::string {
    if (text(Flag).empty())
      fault(Flag, "is required");
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

  auto number(const std::string &Flag, const int Min, const int Max) -> int {
    const auto [Number, Unit] = splitUnit(text(Flag));
    if (!Unit.empty() || Number < Min || Number > Max)
      fault(Flag, "must be an integer from " + std::to_string(Min) + " to " +
                      std::to_string(Max));
    return static_cast<int>(Number);
  }

  auto duration(const std::string &Flag) -> milliseconds {
    const auto [Number, Unit] = splitUnit(text(Flag));
    if (Number > 0 && Unit == "ms")
      return milliseconds(Number);
    if (Number > 0 && Unit == "s")
      return std::chrono::seconds(Number);
    if (Number > 0 && Unit == "min")
      return std::chrono::minutes(Number);
    fault(Flag, "must be a duration such as 200ms, 5s or 2min");
    return milliseconds{1};
  }

  auto size(const std::string &Flag) -> std::size_t {
    const auto [Number, Unit] = splitUnit(text(Flag));
    constexpr std::size_t BytesPerKilobyte = 1024;
    const auto Bytes = static_cast<std::size_t>(std::max<long>(0, Number));
    if (Number > 0 && Unit == "B")
      return Bytes;
    if (Number > 0 && Unit == "KB")
      return Bytes * BytesPerKilobyte;
    if (Number > 0 && Unit == "MB")
      return Bytes * BytesPerKilobyte * BytesPerKilobyte;
    fault(Flag, "must be a size such as 800B, 64KB or 1MB");
    return 1;
  }

  auto fault(const std::string &Flag, const std::string &Description) -> void {
    Faults.push_back("--" + Flag + ": " + Description + " (is '" + text(Flag) +
                     "')");
  }

private:
  /// Returns the leading number and the text after it; -1 and the whole text if
  /// there is no number.
  static auto splitUnit(const std::string &Text)
      -> std::pair<long, std::string> {
    long Number = -1;
    const char *const TextEnd = Text.data() + Text.size();
    const auto [End, Error] = std::from_chars(Text.data(), TextEnd, Number);
    if (Error != std::errc{})
      return {-1, Text};
    return {Number, std::string(End, TextEnd)};
  }

  const setting_values &Values;
  std::vector<std::string> &Faults;
};

/// Returns the teams by token. The team of a token without a team is empty.
auto readTokens(const std::string &Text) -> std::map<std::string, team_id> {
  std::map<std::string, team_id> Tokens;
  for (const std::string &Item : splitList(Text)) {
    const auto Equals = Item.find('=');
    if (Equals == std::string::npos)
      Tokens.emplace(Item, "");
    else
      Tokens.emplace(Item.substr(Equals + 1), Item.substr(0, Equals));
  }
  return Tokens;
}

auto readLevel(setting_reader &Reader) -> log::level {
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

auto readFormat(setting_reader &Reader) -> log::format {
  const std::string Text = Reader.text("log-format");
  if (Text == "json")
    return log::format::Json;
  if (Text != "text")
    Reader.fault("log-format", "must be text or json");
  return log::format::Text;
}

/// Returns the wall clock time in milliseconds. The incarnation must increase
/// with every start of an instance, on whichever host it runs.
auto makeIncarnation() -> incarnation {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<incarnation>(
      std::chrono::duration_cast<milliseconds>(Now).count());
}

auto readEntry(setting_reader &Reader) -> entry::entry_settings {
  entry::entry_settings Entry;
  Entry.Self.Id = Reader.required("instance");
  if (Entry.Self.Id.find('.') != std::string::npos)
    Reader.fault("instance", "must not contain a dot");
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
  cxxopts::Options Options("tarragond",
                           "Runs an entry instance of tarragoncove.");
  auto Add = Options.add_options();
  for (const setting &Setting : SettingTable)
    Add(Setting.Flag,
        std::string(Setting.HelpText) + " [" + environmentName(Setting.Flag) +
            "]",
        cxxopts::value<std::string>()->default_value(Setting.Default));
  Add("check", "check the settings and exit");
  Add("print-settings", "print the settings in force and exit");
  Add("version", "print the version and exit");
  Add("help", "print this help and exit");
  return Options;
}

/// Returns the value of each setting: the flag, else the environment variable,
/// else the default.
auto resolveValues(const cxxopts::ParseResult &Parsed) -> setting_values {
  setting_values Values;
  for (const setting &Setting : SettingTable) {
    const char *const Environment =
        std::getenv(environmentName(Setting.Flag).c_str());
    const bool FromFlag = Parsed.count(Setting.Flag) > 0;
    Values[Setting.Flag] = !FromFlag && Environment
                               ? std::string(Environment)
                               : Parsed[Setting.Flag].as<std::string>();
  }
  return Values;
}

/// Formats the settings, one per line. Tokens are hidden.
auto formatValues(const setting_values &Values) -> std::string {
  std::string Text;
  for (const setting &Setting : SettingTable) {
    const bool Secret = std::string_view(Setting.Flag) == "admin-token";
    const std::string &Value = Values.at(Setting.Flag);
    Text += std::string(Setting.Flag) + "=" +
            (Secret && !Value.empty() ? "(hidden)" : Value) + "\n";
  }
  return Text;
}

auto selectTask(const cxxopts::ParseResult &Parsed) -> daemon_task {
  if (Parsed.count("help") > 0)
    return daemon_task::Help;
  if (Parsed.count("version") > 0)
    return daemon_task::Version;
  if (Parsed.count("print-settings") > 0)
    return daemon_task::Print;
  return Parsed.count("check") > 0 ? daemon_task::Check : daemon_task::Run;
}

constexpr char ExitCodes[] =
    "\nExit codes: 0 stopped as requested, 1 could not start,\n"
    "2 invalid settings, 3 stopped immediately by a second signal.\n";

} // namespace

auto readDaemonSettings(const int Count, char **Arguments) -> daemon_settings {
  daemon_settings Settings;
  auto Options = makeOptions();
  try {
    const auto Parsed = Options.parse(Count, Arguments);
    for (const std::string &Stray : Parsed.unmatched())
      Settings.Faults.push_back("'" + Stray + "' is not a flag");
    const setting_values Values = resolveValues(Parsed);
    setting_reader Reader(Values, Settings.Faults);
    Settings.Task = selectTask(Parsed);
    Settings.Entry = readEntry(Reader);
    Settings.LogLevel = readLevel(Reader);
    Settings.LogFormat = readFormat(Reader);
    Settings.Text = Settings.Task == daemon_task::Help
                        ? Options.help() + ExitCodes
                        : formatValues(Values);
  } catch (const std::exception &Error) {
    Settings.Faults.emplace_back(Error.what());
  }
  return Settings;
}

} // namespace tarragon::app
