#pragma once

#include "admission/types/crashreport.h"
#include "global/types/time.h"

#include <vector>

namespace tarragon::admission {

enum class poison_verdict {
  Clear,
  Suspect, ///< crashed a target once: run it apart from other suspects
  Held     ///< crashed distinct targets: refuse it
};

/// Which requests are suspected of crashing targets. Pure; not locked.
class poison_tracker {
public:
  explicit poison_tracker(milliseconds Hold);

  /// Takes a crash seen here or told by a peer; the same one counts once.
  auto recordCrash(const crash_report &Report, time_point Now) -> void;

  /// A whole run of the request succeeded: it is innocent unless held.
  auto recordSuccess(fingerprint Fingerprint) -> void;

  auto verdict(fingerprint Fingerprint, time_point Now) -> poison_verdict;

  /// The reports not yet expired, at most \p Most, newest first, for peers.
  auto reports(std::size_t Most, time_point Now) -> std::vector<crash_report>;
};

} // namespace tarragon::admission
