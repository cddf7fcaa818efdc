#include "standins/corpus.h"
#include "standins/program.h"
#include "standins/target/targetserver.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

using namespace tarragon;
using standins::target_settings;

/// Flags whose units differ from those of the settings.
struct raw_flags {
  std::int64_t ConnectCostUs = 0;
  double ServiceMeanMs = 10;
  std::int64_t ColdMs = 0;
  std::string Versions = "7:1";
};

auto addFlags(cxxopts::Options &Options, target_settings &Settings,
              raw_flags &Raw) -> void {
  using cxxopts::value;
  Options.add_options()("listen", "IP:port to listen on",
                        value(Settings.Listen))("id", "id of the target",
                                                value(Settings.Id))(
      "service", "the service it belongs to", value(Settings.Service))(
      "group-index", "index of its replica group", value(Settings.GroupIndex))(
      "groups", "replica groups of the service", value(Settings.Groups))(
      "slots", "maximum number of concurrent runs", value(Settings.Slots))(
      "connections", "maximum number of open connections, 0 for no limit",
      value(Settings.Connections))("connect-cost-us",
                                   "delay of the first request of a connection",
                                   value(Raw.ConnectCostUs))(
      "service-mean-ms", "mean duration of a run", value(Raw.ServiceMeanMs))(
      "service-sigma", "sigma of the log-normal duration",
      value(Settings.ServiceSigma))("seed", "seed of the random durations",
                                    value(Settings.Seed))(
      "versions", "versions with shard counts, such as 7:3,8:6",
      value(Raw.Versions))("items", "items of the whole service",
                           value(Settings.ItemCount))(
      "run-log", "file to append runs to", value(Settings.RunLogPath))(
      "cold-ms", "warm-up period of slower runs after the start",
      value(Raw.ColdMs))("threads", "HTTP threads", value(Settings.Threads));
}

auto readSettings(const int Count, const char *const *Arguments)
    -> target_settings {
  cxxopts::Options Options("target_standin", "Stand-in for a target in tests");
  target_settings Settings;
  raw_flags Raw;
  addFlags(Options, Settings, Raw);
  Options.parse(Count, Arguments);
  Settings.ConnectCost = microseconds(Raw.ConnectCostUs);
  Settings.ServiceMean =
      microseconds(static_cast<std::int64_t>(Raw.ServiceMeanMs * 1000));
  Settings.Cold = milliseconds(Raw.ColdMs);
  Settings.Versions = standins::parseVersions(Raw.Versions);
  return Settings;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  standins::blockStopSignals();
  target_settings Settings;
  try {
    Settings = readSettings(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "target_standin: " << Error.what() << '\n';
    return 2;
  }
  static standins::target_server Server(Settings);
  if (!Server.start()) {
    std::cerr << "target_standin: cannot listen on " << Settings.Listen << '\n';
    return 1;
  }
  standins::exitOnStopSignal();
}
