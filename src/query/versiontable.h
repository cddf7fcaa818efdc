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

/// What is known of the index versions that targets hold: what targets said
/// in answers goes before what the platform says. Not locked.
///
/// A version is forgotten when the last target that said it says otherwise.
/// What a target said a while ago counts only in groups of which nothing
/// newer was heard, so that a lost target doesn't keep a version pinned.
class version_table {
public:
  /// Takes what \p Target said it holds, all of it at once. An empty list
  /// means "not told" and is ignored, and so is one older than the last.
  auto recordHeld(const target_id &Target, std::vector<held_version> Held,
                  time_point Now) -> void;

  /// Takes the platform's word on \p Index: used only for targets that have
  /// said nothing yet, and not once a target of the service belied it.
  auto recordHint(const std::string &Index, pinned_snapshot Snapshot) -> void;

  /// Drops all that \p Target said: to be called when it left.
  auto forget(const target_id &Target) -> void;

  /// Marks as stale what was said too long before \p Now.
  auto expire(time_point Now) -> void;

  /// The newest version below \p Before (if given) that at least one target of
  /// each group of all the contract's services can serve. When no version is
  /// known to be common and no \p Before is given: the newest one that no
  /// group is known to have passed, for a target may have got it since it
  /// last spoke. When nothing at all is known: version 0, which no target
  /// holds, with one shard a group; their refusals tell what they hold.
  auto pin(const deployment &Deployment, const contract &Contract,
           std::optional<index_version> Before = std::nullopt) const
      -> std::optional<pinned_snapshot>;

  /// The snapshot of exactly \p Version, when any target still holds it.
  auto find(const deployment &Deployment, const contract &Contract,
            index_version Version) const -> std::optional<pinned_snapshot>;

  /// Whether some service's targets all spoke and none holds \p Version.
  auto gone(const deployment &Deployment, const contract &Contract,
            index_version Version) const -> bool;

  /// Targets and indexes remembered.
  auto size() const -> std::size_t { return Said.size() + Hints.size(); }

private:
  friend class service_view;

  /// What one target said last.
  struct said_versions {
    std::vector<held_version> Held; ///< newest first, never empty
    time_point At;
    bool Stale = false;
  };

  auto dropOldestTarget() -> void;

  std::unordered_map<target_id, said_versions> Said;
  std::map<std::string, pinned_snapshot> Hints; ///< by index
};

} // namespace tarragon::query
