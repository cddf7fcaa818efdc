#pragma once

#include "global/types/time.h"

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace tarragon::bench {

/// A child process, killed with SIGKILL on destruction.
class child_process {
public:
  /// Starts \p Program. Its standard output and error are appended to
  /// \p LogPath. If it cannot be started, exitStatus() is 127.
  child_process(const std::string &Program, std::vector<std::string> Arguments,
                const std::string &LogPath);
  child_process(child_process &&Other) noexcept;
  auto operator=(child_process &&Other) noexcept -> child_process &;
  ~child_process();

  /// Sends a signal unless the process has ended.
  auto signal(int Number) const -> void;

  /// Returns the exit status, 128 + the signal's number if a signal ended the
  /// process, or nothing while it runs.
  auto exitStatus() -> std::optional<int>;

  /// Returns the user and system time used so far.
  auto cpuTime() const -> milliseconds;

  /// Returns the largest resident memory so far in bytes, or 0 if the process
  /// has ended.
  auto peakMemory() const -> std::size_t;

private:
  auto end() -> void;

  pid_t Process = -1;
  std::optional<int> Status;
};

} // namespace tarragon::bench
