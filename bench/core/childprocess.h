#pragma once

#include "global/types/time.h"

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace tarragon::bench {

/// A process started by the bench; killed when it goes out of scope.
class child_process {
public:
  /// Output of both kinds is appended to \p LogPath.
  child_process(const std::string &Program, std::vector<std::string> Arguments,
                const std::string &LogPath);
  child_process(child_process &&Other) noexcept;
  auto operator=(child_process &&Other) noexcept -> child_process &;
  ~child_process();

  auto signal(int Number) const -> void;

  /// The exit status, 128 + signal when killed; none while it runs.
  auto exitStatus() -> std::optional<int>;

  /// User and system time used so far.
  auto cpuTime() const -> milliseconds;

private:
  auto end() -> void;

  pid_t Process = -1;
  std::optional<int> Status;
};

} // namespace tarragon::bench
