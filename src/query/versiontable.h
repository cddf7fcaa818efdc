#pragma once

#include "global/types/time.h"
#include "query/types/pinnedsnapshot.h"
#include "world/types/contract.h"
#include "world/types/deployment.h"
#include "world/types/heldversion.h"

#include <optional>
#include <string>

namespace tarragon::query {

/// What is known of the index versions that targets hold: what targets said
/// in answers goes before what the platform says. Not locked.
class version_table {
public:
  /// Takes what \p Target said it holds, all of it at once.
  auto recordHeld(const target_id &Target, std::vector<held_version> Held,
                  time_point Now) -> void;

  /// Takes the platform's word on \p Index: used only for targets that have
  /// said nothing yet.
  auto recordHint(const std::string &Index, pinned_snapshot Snapshot) -> void;

  /// The newest version below \p Before (if given) that at least one target of
  /// each group of all the contract's services can serve.
  auto pin(const deployment &Deployment, const contract &Contract,
           std::optional<index_version> Before = std::nullopt) const
      -> std::optional<pinned_snapshot>;

  /// The snapshot of exactly \p Version, when any target still holds it.
  auto find(const deployment &Deployment, const contract &Contract,
            index_version Version) const -> std::optional<pinned_snapshot>;
};

} // namespace tarragon::query
