#include "bench/experiments/experiments.h"

#include "global/json.h"

#include <cxxopts.hpp>
#include <json/json.h>

#include <csignal>
#include <filesystem>
#include <iostream>

#include <unistd.h>

namespace {

using namespace tarragon;

struct bench_settings {
  std::string Name;
  int Seconds = 40;
  bool KeepLogs = false;
  bench::session_options Options;
};

auto readSettings(const int Count, const char *const *Arguments)
    -> bench_settings {
  bench_settings Settings;
  auto &Programs = Settings.Options.Cluster;
  Programs.Daemon = TARRAGON_DAEMON;
  Programs.TargetProgram = TARRAGON_TARGET_STANDIN;
  Programs.PlatformProgram = TARRAGON_PLATFORM_STANDIN;
  cxxopts::Options Options("bench", "Runs experiments with real processes");
  Options.add_options()("name", "name of the experiment",
                        cxxopts::value(Settings.Name))(
      "seed", "seed of schedules and service times",
      cxxopts::value(Programs.Seed))("seconds",
                                     "length of the measurement in seconds",
                                     cxxopts::value(Settings.Seconds))(
      "daemon", "path of tarragond", cxxopts::value(Programs.Daemon))(
      "folder", "log folder; kept if given", cxxopts::value(Programs.Folder));
  Options.parse_positional("name");
  Options.parse(Count, Arguments);
  Settings.KeepLogs = !Programs.Folder.empty();
  if (!Settings.KeepLogs)
    Programs.Folder = (std::filesystem::temp_directory_path() /
                       ("tarragon-bench-" + std::to_string(::getpid())))
                          .string();
  Settings.Options.Length = std::chrono::seconds(Settings.Seconds);
  return Settings;
}

auto find(const std::string &Name) -> const bench::experiment * {
  for (const bench::experiment &Experiment : bench::experiments())
    if (Experiment.Name == Name)
      return &Experiment;
  return nullptr;
}

auto report(const bench_settings &Settings, bench::experiment_result Result)
    -> int {
  for (const std::string &Fault : Result.Violations)
    std::cout << "broken: " << Fault << '\n';
  Result.Figures["experiment"] = Settings.Name;
  Result.Figures["seed"] = Json::UInt64(Settings.Options.Cluster.Seed);
  Result.Figures["broken"] = Json::UInt64(Result.Violations.size());
  std::cout << writeJson(Result.Figures) << std::endl;
  return Result.Violations.empty() ? 0 : 1;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  bench_settings Settings;
  try {
    Settings = readSettings(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "bench: " << Error.what() << '\n';
    return 2;
  }
  const bench::experiment *const Experiment = find(Settings.Name);
  if (!Experiment) {
    std::cerr << "bench: unknown experiment; the experiments are:";
    for (const bench::experiment &Known : bench::experiments())
      std::cerr << ' ' << Known.Name;
    std::cerr << '\n';
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(Settings.Options.Cluster.Folder);
  auto Result = Experiment->Run(Settings.Options);
  if (!Settings.KeepLogs)
    std::filesystem::remove_all(Settings.Options.Cluster.Folder);
  return report(Settings, std::move(Result));
}
