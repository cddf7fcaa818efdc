#pragma once

#include "standins/target/targetrun.h"

#include <string>
#include <string_view>

namespace tarragon::standins {

/// Appends what a target ran to a file, one JSON line in one write(2) each,
/// so that a crash loses no line that was begun.
class run_log {
public:
  /// An empty \p Path writes nothing.
  run_log(const std::string &Path, target_id Target);
  ~run_log();
  run_log(const run_log &) = delete;
  auto operator=(const run_log &) -> run_log & = delete;

  /// \p Event is start, end, fail, cancel or expire; \p Took is the planned
  /// time at the start, else the time taken.
  auto write(std::string_view Event, const target_run &Run,
             microseconds Took) const -> void;

private:
  target_id Target;
  int File = -1;
};

} // namespace tarragon::standins
