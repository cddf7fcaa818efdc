#pragma once

#include "world/types/deployment.h"

#include <memory>
#include <string>
#include <vector>

namespace tarragon::config {

/// The accepted configuration with all that proves and explains it. Travels
/// whole from the platform and between instances.
struct accepted_config {
  config_version Version = 0;
  std::string Text; ///< the file, byte for byte
  std::string ContentHash;
  std::string ChangeId;
  std::string Operator;
  std::shared_ptr<const deployment> Deployment; ///< parsed from Text
};

} // namespace tarragon::config
