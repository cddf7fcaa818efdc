#pragma once

#include "global/types/time.h"
#include "query/types/pinnedsnapshot.h"
#include "world/types/contract.h"
#include "world/types/deployment.h"
#include "world/types/heldversion.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tarragon::query {

/// The index versions that targets hold, as this instance has observed them.
/// Reports in targets' answers take precedence over the platform's hints. Not
/// thread-safe.
///
/// A version disappears once no target's last report contains it. Stale reports
/// count only in groups without a fresh report, so that a lost target doesn't
/// keep a version pinned.
class version_table {
public:
  /// Records the complete list of versions that \p Target reported, replacing
  /// its last one. Ignores an empty list, which means "not reported", and a
  /// list older than the last one.
  auto recordHeld(const target_id &Target, std::vector<held_version> Held,
                  time_point Now) -> void;

  /// Records the platform's hint for \p Index. A hint stands in for targets
  /// without a report, and is ignored for a service once the report of one of
  /// its targets contradicts it.
  auto recordHint(const std::string &Index, pinned_snapshot Snapshot) -> void;

  /// Removes the report of \p Target. To be called when the target is removed.
  auto removeTarget(const target_id &Target) -> void;

  /// Marks the reports that are too old at \p Now as stale.
  auto expire(time_point Now) -> void;

  /// Returns the newest version below \p Before (if given) that at least one
  /// target in each group of all the contract's services can serve. If no
  /// version is known to be common and \p Before isn't given, returns the
  /// newest one that no group is known to have moved past, marked Likely: a
  /// target may have received it since its last report. Without any such
  /// version, returns version 0, which no target holds, with one shard per
  /// group: the targets report the versions they hold when they refuse it.
  /// Returns nothing if a service isn't deployed.
  auto pin(const deployment &Deployment, const contract &Contract,
           std::optional<index_version> Before = std::nullopt) const
      -> std::optional<pinned_snapshot>;

  /// Returns the snapshot of exactly \p Version if, for each service, a report
  /// or the hint shows a target that holds it.
  auto find(const deployment &Deployment, const contract &Contract,
            index_version Version) const -> std::optional<pinned_snapshot>;

  /// Returns whether, for some service, every target has reported and none
  /// holds \p Version.
  auto isUnavailable(const deployment &Deployment, const contract &Contract,
                     index_version Version) const -> bool;

  /// Returns the number of targets with a report plus indexes with a hint.
  auto size() const -> std::size_t { return Reports.size() + Hints.size(); }

private:
  friend class service_view;

  /// The last report of one target.
  struct version_report {
    std::vector<held_version> Held; ///< newest first, never empty
    time_point ReceivedAt;
    bool Stale = false;
  };

  auto dropOldestTarget() -> void;

  std::unordered_map<target_id, version_report> Reports;
  std::map<std::string, pinned_snapshot> Hints; ///< by index
};

} // namespace tarragon::query
