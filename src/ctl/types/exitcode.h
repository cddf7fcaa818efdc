#pragma once

namespace tarragon::ctl {

/// How the tool ends; stated in its help.
enum class exit_code : int {
  Ok = 0,
  Refused = 1,    ///< refused, not accepted, or not run
  Usage = 2,      ///< wrong flags or environment
  Unknown = 3,    ///< may or may not have been done, or not seen everywhere
  Unreachable = 4 ///< no entry could be reached; nothing was done
};

} // namespace tarragon::ctl
