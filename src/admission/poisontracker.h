#pragma once

#include "admission/types/crashreport.h"
#include "global/types/time.h"

#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tarragon::admission {

/// The classification of a request by the crashes attributed to it.
enum class poison_verdict {
  Clear,
  Suspect, ///< may have crashed a target and has not succeeded since: run
           ///< isolated from other suspects
  Held     ///< crashed distinct targets: refuse
};

/// Tracks which requests are suspected of crashing targets.
///
/// A request is quarantined after two crashes, of distinct targets or of two
/// incarnations of one, in one of which it ran isolated. A request that merely
/// ran beside the poison request is cleared when an isolated run succeeds.
/// After a quarantine, one more crash quarantines the request again, for twice
/// as long. Performs no I/O and reads no clock. Not thread-safe.
class poison_tracker {
public:
  /// Crashes count for \p Hold after they were observed. \p Seed, which differs
  /// from instance to instance, lengthens the quarantines differently at each,
  /// so that the first one to admit a request again warns the others before
  /// they do.
  explicit poison_tracker(milliseconds Hold,
                          std::optional<std::uint64_t> Seed = std::nullopt);

  /// Sets how long crashes count, including those already recorded.
  auto setQuarantineTime(milliseconds NewHold) -> void { Hold = NewHold; }

  /// Records a crash observed here or reported by a peer. Repeated reports of a
  /// request and an incarnation of a target count once.
  auto recordCrash(const crash_report &Report, time_point Now) -> void;

  /// Records a complete run of the request, which clears it unless it is
  /// quarantined.
  auto recordSuccess(fingerprint Fingerprint) -> void;

  /// Returns the classification of the request at \p Now.
  auto verdict(fingerprint Fingerprint, time_point Now) -> poison_verdict;

  /// Returns how long the request remains held; 0 if it isn't.
  auto heldFor(fingerprint Fingerprint, time_point Now) -> milliseconds;

  /// Returns up to \p MaxReports reports for peers, those of the most recently
  /// changed requests first, without expired ones.
  auto reports(std::size_t MaxReports, time_point Now)
      -> std::vector<crash_report>;

private:
  struct crash {
    target_id Target;
    std::int64_t StartedAtMs = 0; ///< of the target's incarnation
    bool Isolated = false;
    bool Cleared = false; ///< the request succeeded after it
    time_point ObservedAt;
  };
  struct record {
    fingerprint Fingerprint = 0;
    std::vector<crash> Crashes; ///< of distinct incarnations
    std::optional<time_point> QuarantinedAt;
    std::optional<time_point> ReleasedAt; ///< from its last quarantine
    int Quarantines = 0;
  };
  using records = std::list<record>; ///< most recently changed first

  auto touch(fingerprint Fingerprint) -> record &;
  auto find(fingerprint Fingerprint, time_point Now) -> record *;
  auto dropExpired(record &Record, time_point Now) const -> void;
  /// Returns how long the current quarantine lasts at least, at any instance.
  auto minQuarantineTime(const record &Record) const -> milliseconds;
  /// Returns how long the current quarantine lasts at this instance.
  auto quarantineTime(const record &Record) const -> milliseconds;
  auto evictOldest() -> void;

  milliseconds Hold;
  std::optional<std::uint64_t> Seed;
  records Records;
  std::unordered_map<fingerprint, records::iterator> Index;
};

} // namespace tarragon::admission
