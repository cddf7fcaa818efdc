#pragma once

#include <string_view>

namespace tarragon::placement {

/// How one attempt at a target ended, and what that says of its run.
enum class attempt_end {
  Answered,    ///< with a success that belongs to the request
  Failed,      ///< with a failure of the target's own; it ran
  Shed,        ///< truly not run: the target was full or out of time
  Misdirected, ///< truly not run: another target has the address
  Unreachable, ///< nothing was sent
  Rejected,    ///< sent on a new connection that then ended; it may have run
  Broken,      ///< sent, then no whole answer; it may have run
  Abandoned    ///< given up by the caller of the attempt; it may run
};

/// Whether a request whose attempt ended so may have run.
constexpr auto mayHaveRun(const attempt_end End) -> bool {
  switch (End) {
  case attempt_end::Answered:
  case attempt_end::Failed:
  case attempt_end::Rejected:
  case attempt_end::Broken:
  case attempt_end::Abandoned:
    return true;
  case attempt_end::Shed:
  case attempt_end::Misdirected:
  case attempt_end::Unreachable:
    return false;
  }
  return true;
}

/// The name of \p End in logs and metrics.
constexpr auto name(const attempt_end End) -> std::string_view {
  switch (End) {
  case attempt_end::Answered:
    return "answered";
  case attempt_end::Failed:
    return "failed";
  case attempt_end::Shed:
    return "shed";
  case attempt_end::Misdirected:
    return "misdirected";
  case attempt_end::Unreachable:
    return "unreachable";
  case attempt_end::Rejected:
    return "rejected";
  case attempt_end::Broken:
    return "broken";
  case attempt_end::Abandoned:
    return "abandoned";
  }
  return "abandoned";
}

} // namespace tarragon::placement
