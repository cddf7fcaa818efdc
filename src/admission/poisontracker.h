#pragma once

#include "admission/types/crashreport.h"
#include "global/types/time.h"

#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tarragon::admission {

enum class poison_verdict {
  Clear,
  Suspect, ///< crashed a target once: run it apart from other suspects
  Held     ///< crashed distinct targets: refuse it
};

/// Which requests are suspected of crashing targets. A request is held after
/// crashes of two distinct targets, one of which it ran on as a suspect:
/// those that merely ran beside the culprit are cleared by a run apart. Pure;
/// not locked.
class poison_tracker {
public:
  /// Crashes count for \p Hold after they were seen.
  explicit poison_tracker(milliseconds Hold);

  /// Changes how long crashes count, also those seen before.
  auto setHold(milliseconds NewHold) -> void { Hold = NewHold; }

  /// Takes a crash seen here or told by a peer; the same one counts once.
  auto recordCrash(const crash_report &Report, time_point Now) -> void;

  /// A whole run of the request succeeded: it is innocent unless held.
  auto recordSuccess(fingerprint Fingerprint) -> void;

  auto verdict(fingerprint Fingerprint, time_point Now) -> poison_verdict;

  /// The reports not yet expired, at most \p Most, newest first, for peers.
  auto reports(std::size_t Most, time_point Now) -> std::vector<crash_report>;

private:
  struct crash {
    target_id Target;
    bool Apart = false;
    bool Excused = false; ///< the request succeeded after it
    time_point SeenAt;
  };
  struct record {
    fingerprint Fingerprint = 0;
    std::vector<crash> Crashes; ///< of distinct targets
    std::optional<time_point> HeldAt;
  };
  using records = std::list<record>; ///< the last changed first

  auto touch(fingerprint Fingerprint) -> record &;
  auto find(fingerprint Fingerprint, time_point Now) -> record *;
  auto dropExpired(record &Record, time_point Now) const -> void;
  auto dropSurplus() -> void;

  milliseconds Hold;
  records Records;
  std::unordered_map<fingerprint, records::iterator> Index;
};

} // namespace tarragon::admission
