#pragma once

#include "standins/target/targetrun.h"

#include <string>
#include <string_view>

namespace tarragon::standins {

/// Appends the events of a target's runs to a file. Each event is one JSON line
/// written by one write(2), so that a crash of the process neither loses nor
/// truncates a logged event.
class run_log {
public:
  /// With an empty \p Path nothing is written.
  run_log(const std::string &Path, target_id Target);
  ~run_log();
  run_log(const run_log &) = delete;
  auto operator=(const run_log &) -> run_log & = delete;

  /// \p Event is start, end, fail, cancel or expire; \p Duration is the planned
  /// duration for start, else the elapsed time.
  auto write(std::string_view Event, const target_run &Run,
             microseconds Duration) const -> void;

private:
  target_id Target;
  int File = -1;
};

} // namespace tarragon::standins
