#pragma once

namespace tarragon::ctl {

/// The exit codes of the tool; listed in its help.
enum class exit_code : int {
  Ok = 0,
  Refused = 1,    ///< refused, not accepted, or not run
  Usage = 2,      ///< invalid flags, environment or file name
  Unknown = 3,    ///< outcome unknown, or not confirmed at every entry in time
  Unreachable = 4 ///< no entry could be reached; nothing was done
};

} // namespace tarragon::ctl
