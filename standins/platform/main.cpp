#include "standins/platform/platformserver.h"
#include "standins/program.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

using tarragon::standins::platform_settings;

auto readSettings(const int Count, const char *const *Arguments)
    -> platform_settings {
  cxxopts::Options Options("platform_standin",
                           "Stand-in for the platform in tests");
  platform_settings Settings;
  Options.add_options()("listen", "IP:port to listen on",
                        cxxopts::value(Settings.Listen))(
      "threads", "HTTP threads", cxxopts::value(Settings.Threads))(
      "rate-writes", "writes per second before 429; 0 for no limit",
      cxxopts::value(Settings.WritesPerSecond))(
      "rate-reads", "reads per second before 429; 0 for no limit",
      cxxopts::value(Settings.ReadsPerSecond));
  Options.parse(Count, Arguments);
  return Settings;
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  tarragon::standins::blockStopSignals();
  platform_settings Settings;
  try {
    Settings = readSettings(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "platform_standin: " << Error.what() << '\n';
    return 2;
  }
  static tarragon::standins::platform_server Server(Settings);
  if (!Server.start()) {
    std::cerr << "platform_standin: cannot listen on " << Settings.Listen
              << '\n';
    return 1;
  }
  tarragon::standins::exitOnStopSignal();
}
