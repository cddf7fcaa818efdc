#pragma once

#include "world/types/deployment.h"

#include <memory>
#include <string>
#include <vector>

namespace tarragon::config {

/// An accepted configuration with the hash that verifies it and the change it
/// comes from. Read from the platform and sent between instances as a whole.
struct accepted_config {
  config_version Version = 0;
  std::string Text; ///< the file, byte for byte
  std::string ContentHash;
  std::string ChangeId;
  std::string Operator;
  /// Parsed from Text; null when this build's parser refuses it.
  std::shared_ptr<const deployment> Deployment;
};

} // namespace tarragon::config
