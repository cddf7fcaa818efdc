#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <unordered_map>

namespace tarragon::admission::internal {

/// Requests that crashed a target of this group lately. It bridges the time
/// until the roots know, and is bounded in number and age.
class crash_memory {
public:
  auto record(fingerprint Fingerprint, time_point Now) -> void;

  /// The request crashed a target with nobody else to blame: those that were
  /// remembered with it are taken as innocent.
  auto recordCulprit(fingerprint Fingerprint, time_point Now) -> void;

  /// The request was answered.
  auto clear(const fingerprint Fingerprint) -> void {
    Crashes.erase(Fingerprint);
  }

  auto has(fingerprint Fingerprint, time_point Now) const -> bool;

private:
  std::unordered_map<fingerprint, time_point> Crashes; ///< last seen
};

} // namespace tarragon::admission::internal
