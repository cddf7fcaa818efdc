#pragma once

#include "entry/types/entrysettings.h"
#include "global/log.h"

#include <string>
#include <vector>

namespace tarragon::app {

/// What the command line asks for.
enum class daemon_task { Run, Check, Print, Version, Help };

/// The settings of tarragond, read from flags and, where a flag is not given,
/// from the environment variable TARRAGON_<FLAG>.
struct daemon_settings {
  daemon_task Task = daemon_task::Run;
  entry::entry_settings Entry;
  log::level LogLevel = log::level::Info;
  log::format LogFormat = log::format::Text;
  std::string Text; ///< help, or the settings as they are in force
  std::vector<std::string> Faults; ///< all that is wrong; empty: usable
};

auto readDaemonSettings(int Count, char **Arguments) -> daemon_settings;

} // namespace tarragon::app
