#pragma once

#include "entry/types/entrysettings.h"
#include "global/log.h"

#include <string>
#include <vector>

namespace tarragon::app {

/// The action that the command line selects.
enum class daemon_task { Run, Check, Print, Version, Help };

/// The settings of tarragond. A flag takes precedence over its environment
/// variable TARRAGON_<FLAG>.
struct daemon_settings {
  daemon_task Task = daemon_task::Run;
  entry::entry_settings Entry;
  log::level LogLevel = log::level::Info;
  log::format LogFormat = log::format::Text;
  std::string Text; ///< help text, or the settings in force
  /// One text per invalid setting; empty if the settings are valid.
  std::vector<std::string> Faults;
};

/// Reads the settings from the command line and the environment. Doesn't throw
/// on invalid input: Faults lists it.
auto readDaemonSettings(int Count, char **Arguments) -> daemon_settings;

} // namespace tarragon::app
