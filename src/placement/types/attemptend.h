#pragma once

#include <string_view>

namespace tarragon::placement {

/// How an attempt at a target ended, and whether the target may have executed
/// it.
enum class attempt_end {
  Answered,    ///< with a success that matches the request
  Failed,      ///< with an error of the target; it was executed
  Shed,        ///< not run: the target was full or the deadline had passed
  Misdirected, ///< not run: another target uses the address
  Unreachable, ///< not run: nothing was sent
  Rejected,    ///< sent on a new connection that was closed; may have run
  Broken,      ///< sent, but no complete answer came; may have run
  Abandoned    ///< cancelled by this instance; may still run
};

/// Returns whether the target may have executed an attempt with this end.
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

/// Returns the name of \p End in logs and metrics.
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
