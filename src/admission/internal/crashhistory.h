#pragma once

#include "global/types/time.h"
#include "world/types/ids.h"

#include <unordered_map>

namespace tarragon::admission::internal {

/// The requests that recently crashed a target of this group. Bridges the time
/// until the coordinators have received the crash reports. Bounded in number
/// and age.
class crash_history {
public:
  /// Records a crash that the request may have caused.
  auto record(fingerprint Fingerprint, time_point Now) -> void;

  /// Records a crash that no other request can have caused. All other recorded
  /// requests are presumed harmless and removed.
  auto recordCulprit(fingerprint Fingerprint, time_point Now) -> void;

  /// Removes the request, because it was answered.
  auto clear(const fingerprint Fingerprint) -> void {
    Crashes.erase(Fingerprint);
  }

  /// Returns whether a crash of the request is recorded and not expired.
  auto contains(fingerprint Fingerprint, time_point Now) const -> bool;

private:
  /// The time of the last crash of each request.
  std::unordered_map<fingerprint, time_point> Crashes;
};

} // namespace tarragon::admission::internal
