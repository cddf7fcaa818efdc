#pragma once

#include "config/types/acceptedconfig.h"
#include "config/types/refusedconfig.h"

#include <optional>

namespace tarragon::config {

/// The accepted configuration that is in force at an instance. Configurations
/// arrive from the platform and from peers in any order and any number of
/// times; the version in force only increases. Performs no I/O. Not
/// thread-safe; the calling code locks.
class config_adoption {
public:
  /// Adopts \p Config and returns true when it is newer than the one in force,
  /// matches its hash and can be parsed. One that this build's parser refuses
  /// is not adopted: the instance keeps the last readable one in force, and
  /// refused() returns the refused one.
  auto adopt(accepted_config Config) -> bool;

  /// Returns the configuration in force; version 0 without a deployment until
  /// one is adopted.
  auto inForce() const -> const accepted_config & { return Config; }

  /// Returns the newest accepted configuration that this build's parser
  /// refuses, if it is newer than the one in force.
  auto refused() const -> const std::optional<refused_config> & {
    return Refused;
  }

  /// Returns the newest complete configuration, for forwarding to peers, even
  /// if this build can't parse it: a peer of another build may be able to.
  auto newest() const -> const accepted_config & {
    return Refused ? Refused->Config : Config;
  }

private:
  auto isRefused(config_version Version) const -> bool;

  accepted_config Config;
  std::optional<refused_config> Refused;
};

} // namespace tarragon::config
