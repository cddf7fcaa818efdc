#pragma once

#include "config/types/acceptedconfig.h"
#include "config/types/refusedconfig.h"

#include <optional>

namespace tarragon::config {

/// Which accepted configuration an instance has in force. Takes those it hears
/// of from the platform and from peers, in any order and any number of times,
/// and only ever moves to a higher version. Pure; the caller locks.
class config_adoption {
public:
  /// Adopts \p Config and says true when it is newer, whole and readable.
  /// One that this build's parser refuses is not adopted: the instance keeps
  /// the last it can read, and refused() tells of the other.
  auto adopt(accepted_config Config) -> bool;

  /// Version 0 and no deployment until one was adopted.
  auto inForce() const -> const accepted_config & { return Config; }

  /// The newest accepted configuration that could not be put in force here,
  /// if it is newer than the one in force.
  auto refused() const -> const std::optional<refused_config> & {
    return Refused;
  }

  /// What to pass on to peers: the newest whole one, readable here or not. A
  /// peer of another build may be able to read it.
  auto newest() const -> const accepted_config & {
    return Refused ? Refused->Config : Config;
  }

private:
  auto isRefused(config_version Version) const -> bool;

  accepted_config Config;
  std::optional<refused_config> Refused;
};

} // namespace tarragon::config
